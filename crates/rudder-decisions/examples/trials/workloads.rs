//! Workloads shared by the load tests and the admission trial.

use super::arrivals::{ArrivalPattern, capacity, member};
use super::model::{MemberSpec, Request};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Number of instances in front of the group.
pub(crate) const INSTANCES: usize = 7;

/// Caller that sends three quarters of the requests.
pub(crate) const BUSY_CALLER: u64 = 0;

/// Fingerprint of the long statements.
pub(crate) const REPORT: u64 = 99;

/// Returns a primary, a replica of the same speed and a slow replica, each 2 ms away.
pub(crate) fn group() -> Vec<MemberSpec> {
    let link = Duration::from_millis(2);
    let primary = MemberSpec { primary: true, ..member(1.0, 5, link, INSTANCES) };
    vec![primary, member(1.0, 5, link, INSTANCES), member(0.4, 5, link, INSTANCES)]
}

/// Returns 200 reads per second, and writes at `write_factor` times their ordinary 100 per second.
pub(crate) fn writes_among_reads(write_factor: f64, seed: u64) -> Vec<Request> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let length = Duration::from_secs(30);
    let reads = ArrivalPattern::steady(200.0, length, INSTANCES);
    let writes = ArrivalPattern {
        write_share: 1.0,
        ..ArrivalPattern::steady(100.0 * write_factor, length, INSTANCES)
    };
    let mut requests = reads.draw(rng);
    requests.extend(writes.draw(rng));
    requests.sort_by_key(|request| request.at);
    requests
}

/// Returns 1400 reads per second for replicas that serve 700; three in four come from one caller.
pub(crate) fn busy_caller(seed: u64) -> Vec<Request> {
    let pattern = ArrivalPattern {
        timeout: Duration::from_secs(1),
        ..ArrivalPattern::steady(1400.0, Duration::from_secs(20), INSTANCES)
    };
    let mut requests = pattern.draw(&mut StdRng::seed_from_u64(seed));
    requests.iter_mut().filter(|request| request.caller < 75).for_each(|request| {
        request.caller = BUSY_CALLER;
    });
    requests
}

/// Returns 250 short reads per second, and every ten seconds a batch of ten reports of one second
/// each, from one caller at one instance.
pub(crate) fn long_among_short(seed: u64) -> Vec<Request> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let length = Duration::from_secs(60);
    let mut requests = ArrivalPattern::steady(250.0, length, INSTANCES).draw(rng);
    let template = requests[0].clone();
    for index in 0..60 {
        let batch_at = Duration::from_secs(2 + 10 * (index / 10));
        requests.push(Request {
            at: batch_at + Duration::from_millis(index % 10),
            instance: 0,
            caller: REPORT,
            kind: "engineers",
            fingerprint: REPORT,
            service: Duration::from_secs(1),
            timeout: Duration::from_secs(30),
            queue_wait: Some(Duration::from_secs(20)),
            ..template.clone()
        });
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Returns reads at `load` times the capacity of the group; every third caller is of a kind that is
/// shed first.
pub(crate) fn saturation(load: f64, seed: u64) -> Vec<Request> {
    let rate = capacity(&group()) * load;
    let pattern = ArrivalPattern {
        timeout: Duration::from_secs(1),
        ..ArrivalPattern::steady(rate, Duration::from_secs(20), INSTANCES)
    };
    let mut requests = pattern.draw(&mut StdRng::seed_from_u64(seed));
    for request in requests.iter_mut().filter(|request| request.caller % 3 == 0) {
        request.kind = "auditors";
        request.shed = true;
    }
    requests
}
