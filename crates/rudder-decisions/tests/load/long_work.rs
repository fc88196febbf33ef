use super::arrivals::ArrivalPattern;
use super::current::PolicySettings;
use super::model::{Outcome, Request};
use super::summary::LoadSummary;
use super::{INSTANCES, SEED, group, play_both};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const REPORT: u64 = 99;

/// 250 short reads a second, and three reports a second of one second each.
fn requests() -> Vec<Request> {
    let rng = &mut StdRng::seed_from_u64(SEED);
    let length = Duration::from_secs(40);
    let mut requests = ArrivalPattern::steady(250.0, length, INSTANCES).draw(rng);
    let mut reports = ArrivalPattern::steady(3.0, length, INSTANCES).draw(rng);
    for report in &mut reports {
        report.fingerprint = REPORT;
        report.service = Duration::from_secs(1);
        report.kind = "engineers";
        report.patience = Duration::from_secs(30);
    }
    requests.append(&mut reports);
    requests.sort_by_key(|request| request.at);
    requests
}

// Engineers draw condition maps, a second each, while crews look up sheets. When a few maps hold
// all slots of a member, every short lookup waits for the longest of them.
#[test]
fn reports_leave_room_for_short_reads_and_still_finish() {
    let requests = requests();

    let (now, plain) = play_both(&group(), &requests, PolicySettings::default());

    let settled = |request: &Request| request.at > Duration::from_secs(5);
    let short = |request: &Request, _: &Outcome| settled(request) && request.fingerprint != REPORT;
    let short_now = LoadSummary::of(&requests, &now, short);
    let short_plain = LoadSummary::of(&requests, &plain, short);
    assert!(short_now.p99_ms * 2.0 < short_plain.p99_ms, "{short_now:?} {short_plain:?}");
    let reports = LoadSummary::of(&requests, &now, |request, _| request.fingerprint == REPORT);
    assert!(reports.served_share() > 0.99, "{reports:?}");
}
