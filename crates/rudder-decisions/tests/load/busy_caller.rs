use super::current::PolicySettings;
use super::model::{Outcome, Request};
use super::setup::{PolicyChoice, simulate};
use super::summary::LoadSummary;
use super::workloads::{BUSY_CALLER, busy_caller};
use super::{SEED, group};
use std::time::Duration;

fn is_other_caller(request: &Request, _: &Outcome) -> bool {
    request.caller != BUSY_CALLER
}

// One caller sends three quarters of the requests. In a queue in order of arrival its requests
// delay all others; callers must be served in turn instead.
#[test]
fn a_busy_caller_does_not_starve_other_callers() {
    let requests = busy_caller(SEED);
    let settings =
        PolicySettings { queue_wait: Duration::from_millis(800), ..PolicySettings::default() };

    let current = simulate(&group(), &requests, PolicyChoice::Current(settings), SEED);
    let fifo = simulate(&group(), &requests, PolicyChoice::SharedQueue, SEED);

    let (others_current, others_fifo) = (
        LoadSummary::of(&requests, &current, is_other_caller),
        LoadSummary::of(&requests, &fifo, is_other_caller),
    );
    assert!(others_current.served_share() > 0.95, "{others_current:?}");
    assert!(others_fifo.served_share() < 0.5, "{others_fifo:?}");
    let busy_current =
        LoadSummary::of(&requests, &current, |request, _| request.caller == BUSY_CALLER);
    assert!(
        busy_current.served_share() > 0.2,
        "the busy caller gets the remaining capacity: {busy_current:?}"
    );
}
