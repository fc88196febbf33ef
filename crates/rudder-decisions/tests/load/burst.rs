use super::current::PolicySettings;
use super::model::Request;
use super::scenes::rehearsal;
use super::setup::{PolicyChoice, play};
use super::summary::LoadSummary;
use super::{SEED, group, play_both};
use rudder_decisions::WorkClass;
use std::time::Duration;

/// Catalogue reads of sessions that have just written, so that only the primary may serve them.
fn with_fresh_reads(mut requests: Vec<Request>) -> Vec<Request> {
    let reads = requests.iter_mut().filter(|request| request.class == WorkClass::Read);
    reads.step_by(4).for_each(|request| request.floor = Some(request.at));
    requests
}

fn p99_of_reads(requests: &[Request], outcomes: &[super::model::Outcome]) -> f64 {
    LoadSummary::of(requests, outcomes, |request, _| request.class == WorkClass::Read).p99_ms
}

// In rehearsal week every conservatory orders at once. A copyist looks up the catalogue meanwhile
// and must not notice: the orders fill the primary, and the catalogue is read from the replicas.
#[test]
fn a_burst_of_writes_leaves_catalogue_reads_alone() {
    let (calm, busy) = (rehearsal(1.0, SEED), rehearsal(4.5, SEED));

    let (calm_now, _) = play_both(&group(), &calm, PolicySettings::default());
    let (busy_now, busy_plain) = play_both(&group(), &busy, PolicySettings::default());

    let ordinary = p99_of_reads(&calm, &calm_now);
    assert!(p99_of_reads(&busy, &busy_now) <= 1.5 * ordinary);
    assert!(p99_of_reads(&busy, &busy_plain) > 1.5 * ordinary);
}

// A session reads its own order back at once, so the read must go to the primary, just when the
// burst has filled it. It must not stand behind all the orders that came before it.
#[test]
fn reads_at_the_primary_do_not_queue_behind_a_burst_of_writes() {
    let mut members = group();
    members.iter_mut().for_each(|member| member.lag = Duration::from_millis(200));
    let requests = with_fresh_reads(rehearsal(5.5, SEED));
    let settings =
        PolicySettings { queue_wait: Duration::from_secs(1), ..PolicySettings::default() };

    let (now, plain) = play_both(&members, &requests, settings);
    let unreserved = PolicySettings { reserved: false, ..settings };
    let unreserved = play(&members, &requests, PolicyChoice::Current(unreserved), SEED);

    let fresh = |request: &Request, _: &super::model::Outcome| request.floor.is_some();
    let fresh_now = LoadSummary::of(&requests, &now, fresh);
    let fresh_plain = LoadSummary::of(&requests, &plain, fresh);
    assert!(fresh_now.served_share() > 0.95, "{fresh_now:?}");
    assert!(fresh_now.p99_ms * 4.0 < fresh_plain.p99_ms, "{fresh_now:?} {fresh_plain:?}");
    let fresh_unreserved = LoadSummary::of(&requests, &unreserved, fresh);
    assert!(
        fresh_now.p99_ms * 1.25 < fresh_unreserved.p99_ms,
        "{fresh_now:?} {fresh_unreserved:?}"
    );
}
