//! Many origins forward more to one holder than its connections serve.

use rudder_decisions::ForwardedLoad;
use std::time::{Duration, Instant};

const CONNECTIONS: usize = 4;
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Time that a request may wait for a connection: a quarter of a latency target of 600 ms.
const WAIT: Duration = Duration::from_millis(150);

/// Interval of the requests: twice as many as the connections serve.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(2500);

const DURATION: Duration = Duration::from_secs(10);

/// Result of a run.
#[derive(Debug, Default)]
struct LoadSummary {
    served: u32,
    declined: u32,
    /// Requests that waited in vain at the holder.
    waited_in_vain: u32,
    /// Longest wait of a served request.
    longest_wait: Duration,
}

/// Simulates a holder whose connections serve requests in the order of arrival, with or without the
/// decision.
fn simulate_holder(decides: bool) -> LoadSummary {
    let start = Instant::now();
    let mut load = ForwardedLoad::default();
    let mut summary = LoadSummary::default();
    let mut free_at = [start; CONNECTIONS];
    let mut ends: Vec<(Instant, bool)> = Vec::new();
    let mut now = start;
    while now < start + DURATION {
        let (due, open) = ends.iter().copied().partition(|(end, _)| *end <= now);
        ends = open;
        let mut due: Vec<(Instant, bool)> = due;
        due.sort_unstable();
        for (end, served) in due {
            load.end(CONNECTIONS as u32, served, end);
        }
        let wait = if decides { WAIT } else { Duration::MAX };
        if load.try_begin(CONNECTIONS as u32, wait) {
            let connection = free_at.iter_mut().min().expect("a connection");
            let begun_at = (*connection).max(now);
            if begun_at > now + WAIT {
                summary.waited_in_vain += 1;
                ends.push((now + WAIT, false));
            } else {
                *connection = begun_at + SERVICE_TIME;
                ends.push((*connection, true));
                summary.served += 1;
                summary.longest_wait = summary.longest_wait.max(begun_at - now);
            }
        } else {
            summary.declined += 1;
        }
        now += ARRIVAL_INTERVAL;
    }
    summary
}

#[test]
fn an_overloaded_holder_declines_at_once_what_would_wait_in_vain() {
    // Without the decision half of the requests wait for their whole time and are then refused,
    // when it is too late for another holder.
    let (with, without) = (simulate_holder(true), simulate_holder(false));

    assert!(without.waited_in_vain > 1500, "{without:?}");
    // One in fifty of all requests: the decision is an estimate.
    assert!(with.waited_in_vain <= 80, "{with:?}");
    assert!(with.declined > 1500, "{with:?}");
}

#[test]
fn an_overloaded_holder_stays_busy() {
    // An estimate that is too high would decline requests while connections are idle.
    let summary = simulate_holder(true);

    let capacity = DURATION.as_millis() / SERVICE_TIME.as_millis() * CONNECTIONS as u128;
    assert!(u128::from(summary.served) >= capacity * 97 / 100, "{summary:?} of {capacity}");
    assert!(summary.longest_wait <= WAIT, "{summary:?}");
}

#[test]
fn a_holder_accepts_requests_again_after_an_overload() {
    // An estimate from an earlier overload must not decline requests for idle connections.
    let start = Instant::now();
    let mut load = ForwardedLoad::default();
    assert!((0..50).all(|_| load.try_begin(1, Duration::MAX)));
    for number in 0..50 {
        load.end(1, true, start + number * Duration::from_secs(1));
    }

    assert!(load.try_begin(1, Duration::ZERO));
    assert!(!load.try_begin(1, Duration::from_millis(100)));
}
