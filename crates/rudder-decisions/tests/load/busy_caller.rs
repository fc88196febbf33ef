use super::current::PolicySettings;
use super::model::{Outcome, Request};
use super::scenes::{BUSY_CALLER, busy_caller};
use super::setup::{PolicyChoice, play};
use super::summary::LoadSummary;
use super::{SEED, group};
use std::time::Duration;

fn others(request: &Request, _: &Outcome) -> bool {
    request.caller != BUSY_CALLER
}

// One conservatory's script asks for the whole catalogue in a loop. Without turns its requests
// stand before everybody's, and copyists elsewhere wait for a script that nobody is waiting for.
#[test]
fn a_busy_caller_does_not_crowd_out_the_others() {
    let requests = busy_caller(SEED);
    let settings =
        PolicySettings { queue_wait: Duration::from_millis(800), ..PolicySettings::default() };

    let now = play(&group(), &requests, PolicyChoice::Current(settings), SEED);
    let fifo = play(&group(), &requests, PolicyChoice::SharedQueue, SEED);

    let (others_now, others_fifo) =
        (LoadSummary::of(&requests, &now, others), LoadSummary::of(&requests, &fifo, others));
    assert!(others_now.served_share() > 0.95, "{others_now:?}");
    assert!(others_fifo.served_share() < 0.5, "{others_fifo:?}");
    let busy_now = LoadSummary::of(&requests, &now, |request, _| request.caller == BUSY_CALLER);
    assert!(busy_now.served_share() > 0.2, "the busy caller still gets what is left: {busy_now:?}");
}
