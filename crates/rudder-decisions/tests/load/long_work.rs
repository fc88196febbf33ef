use super::current::PolicySettings;
use super::model::{Outcome, Request};
use super::setup::{PolicyChoice, simulate};
use super::summary::LoadSummary;
use super::workloads::{REPORT, group, long_among_short};
use super::{SEED, simulate_both};
use rudder_decisions::{WorkEstimate, WorkSize};
use std::time::Duration;

/// Returns whether the request is a short read after the first batch of reports, from which their
/// size is learned.
fn is_short(request: &Request, _: &Outcome) -> bool {
    request.fingerprint != REPORT && request.at > Duration::from_secs(10)
}

// Ten reports of one second each arrive together among short reads. If the reports hold all slots,
// every short read waits for the longest of them.
#[test]
fn reports_leave_room_for_short_reads_and_still_finish() {
    let requests = long_among_short(SEED);
    let without_sizes = PolicySettings { sizes_estimated: false, ..PolicySettings::default() };

    let (current, baseline) = simulate_both(&group(), &requests, PolicySettings::default());
    let without_estimates =
        simulate(&group(), &requests, PolicyChoice::Current(without_sizes), SEED);

    let short_current = LoadSummary::of(&requests, &current, is_short);
    let short_unsized = LoadSummary::of(&requests, &without_estimates, is_short);
    let short_baseline = LoadSummary::of(&requests, &baseline, is_short);
    assert!(
        short_current.p99_ms * 1.5 < short_unsized.p99_ms,
        "{short_current:?} {short_unsized:?}"
    );
    assert!(
        short_current.p99_ms * 2.0 < short_baseline.p99_ms,
        "{short_current:?} {short_baseline:?}"
    );
    let report = |request: &Request, _: &Outcome| request.fingerprint == REPORT;
    let reports = LoadSummary::of(&requests, &current, report);
    assert!(reports.served_share() > 0.99, "{reports:?}");
}

// During an overload all statements take twenty times as long. If they then counted as long, the
// limit on long statements would delay them and prolong the overload.
#[test]
fn an_overload_does_not_make_statements_count_as_long() {
    let mut estimate = WorkEstimate::new();
    let lookup_ms = |index: u64| if index < 200 { 10 } else { 200 };

    let mut long_count = 0;
    for index in 0..600 {
        estimate.observe(index % 3, Duration::from_millis(lookup_ms(index)));
        long_count += u32::from(estimate.size(index % 3) == WorkSize::Long);
    }
    estimate.observe(REPORT, Duration::from_secs(20));

    assert_eq!(long_count, 0);
    assert_eq!(estimate.size(REPORT), WorkSize::Long);
}
