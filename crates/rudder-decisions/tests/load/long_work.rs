use super::current::PolicySettings;
use super::model::{Outcome, Request};
use super::scenes::{REPORT, long_among_short};
use super::setup::{PolicyChoice, play};
use super::summary::LoadSummary;
use super::{SEED, group, play_both};
use std::time::Duration;

// Engineers draw condition maps, a second each, while crews look up sheets. When a few maps hold
// all slots of a member, every short lookup waits for the longest of them.
#[test]
fn reports_leave_room_for_short_reads_and_still_finish() {
    let requests = long_among_short(SEED);

    let without_sizes = PolicySettings { sized: false, ..PolicySettings::default() };

    let (now, plain) = play_both(&group(), &requests, PolicySettings::default());
    let mixed = play(&group(), &requests, PolicyChoice::Current(without_sizes), SEED);

    let settled = |request: &Request| request.at > Duration::from_secs(5);
    let short = |request: &Request, _: &Outcome| settled(request) && request.fingerprint != REPORT;
    let short_now = LoadSummary::of(&requests, &now, short);
    let short_plain = LoadSummary::of(&requests, &plain, short);
    assert!(short_now.p99_ms * 2.0 < short_plain.p99_ms, "{short_now:?} {short_plain:?}");
    let short_mixed = LoadSummary::of(&requests, &mixed, short);
    assert!(short_now.p99_ms * 1.25 < short_mixed.p99_ms, "{short_now:?} {short_mixed:?}");
    let reports = LoadSummary::of(&requests, &now, |request, _| request.fingerprint == REPORT);
    assert!(reports.served_share() > 0.99, "{reports:?}");
}
