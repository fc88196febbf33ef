use super::current::PolicySettings;
use super::model::Request;
use super::setup::{PolicyChoice, simulate};
use super::summary::LoadSummary;
use super::workloads::writes_among_reads;
use super::{SEED, group, simulate_both};
use rudder_decisions::WorkClass;
use std::time::Duration;

/// Makes every fourth read require a write made immediately before, so that only the primary may
/// serve it.
fn with_fresh_reads(mut requests: Vec<Request>) -> Vec<Request> {
    let reads = requests.iter_mut().filter(|request| request.class == WorkClass::Read);
    reads.step_by(4).for_each(|request| request.floor = Some(request.at));
    requests
}

fn p99_of_reads(requests: &[Request], outcomes: &[super::model::Outcome]) -> f64 {
    LoadSummary::of(requests, outcomes, |request, _| request.class == WorkClass::Read).p99_ms
}

// A burst of writes fills the primary. Reads that replicas may serve must not be delayed by it.
#[test]
fn a_burst_of_writes_does_not_delay_reads() {
    let (ordinary, burst) = (writes_among_reads(1.0, SEED), writes_among_reads(4.5, SEED));

    let (ordinary_current, _) = simulate_both(&group(), &ordinary, PolicySettings::default());
    let (burst_current, burst_baseline) =
        simulate_both(&group(), &burst, PolicySettings::default());

    let ordinary_p99_ms = p99_of_reads(&ordinary, &ordinary_current);
    assert!(p99_of_reads(&burst, &burst_current) <= 1.5 * ordinary_p99_ms);
    assert!(p99_of_reads(&burst, &burst_baseline) > 1.5 * ordinary_p99_ms);
}

// Reads that must see a write made immediately before go to the primary while a burst of writes
// fills it. Without slots reserved for reads they would queue behind all those writes.
#[test]
fn reads_at_the_primary_do_not_queue_behind_a_burst_of_writes() {
    let mut members = group();
    members.iter_mut().for_each(|member| member.lag = Duration::from_millis(200));
    let requests = with_fresh_reads(writes_among_reads(5.5, SEED));
    let settings =
        PolicySettings { queue_wait: Duration::from_secs(1), ..PolicySettings::default() };

    let (current, baseline) = simulate_both(&members, &requests, settings);
    let unreserved = PolicySettings { slots_reserved: false, ..settings };
    let unreserved = simulate(&members, &requests, PolicyChoice::Current(unreserved), SEED);

    let fresh = |request: &Request, _: &super::model::Outcome| request.floor.is_some();
    let fresh_current = LoadSummary::of(&requests, &current, fresh);
    let fresh_baseline = LoadSummary::of(&requests, &baseline, fresh);
    assert!(fresh_current.served_share() > 0.95, "{fresh_current:?}");
    assert!(
        fresh_current.p99_ms * 4.0 < fresh_baseline.p99_ms,
        "{fresh_current:?} {fresh_baseline:?}"
    );
    let fresh_unreserved = LoadSummary::of(&requests, &unreserved, fresh);
    assert!(
        fresh_current.p99_ms * 1.25 < fresh_unreserved.p99_ms,
        "{fresh_current:?} {fresh_unreserved:?}"
    );
}
