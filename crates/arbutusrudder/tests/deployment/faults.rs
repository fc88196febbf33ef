//! Consistency guarantees under injected faults, alone and in pairs: concurrent callers run while
//! faults occur at fixed times, and the history checker verifies the replies that they received.

use rudder_core::{HistoryFault, check_history};
use rudder_standins::{FaultKind, TrialSchedule, run_trial};
use std::time::Duration;

const FAULT_LENGTH: Duration = Duration::from_millis(1300);

async fn run_schedule(schedule: &TrialSchedule) -> (Vec<HistoryFault>, bool, bool) {
    let report = run_trial(schedule).await.expect("the deployment starts");
    let answered = !report.log.writes.is_empty() && !report.log.reads.is_empty();
    (check_history(&report.log), report.recovered, answered)
}

async fn check_fault(kind: FaultKind) {
    let schedule = TrialSchedule::single(kind, FAULT_LENGTH, 7);

    let result = run_schedule(&schedule).await;

    assert_eq!(result, (Vec::new(), true, true), "{kind:?}");
}

async fn check_fault_pair(kinds: [FaultKind; 2]) {
    let schedule = TrialSchedule::pair(kinds, FAULT_LENGTH, 11);

    let result = run_schedule(&schedule).await;

    assert_eq!(result, (Vec::new(), true, true), "{kinds:?}");
}

/// Detects lost or duplicated writes, reads without the session's own writes, executed statements
/// reported as "not run" and permanent write refusals. They come from superseded primaries,
/// promotions that drop entries and outdated knowledge of a member.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_the_primary_fails() {
    check_fault(FaultKind::KillPrimary).await;
    check_fault(FaultKind::FreezePrimary).await;
    check_fault(FaultKind::CutPrimary).await;
}

/// Detects the same failures and a promotion when only one proxy has lost a link, in one or both
/// directions, or its open connections have gone silent. They occur if one instance's view decides
/// for all.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_links_fail() {
    check_fault(FaultKind::CutLink).await;
    check_fault(FaultKind::DeafLink).await;
    check_fault(FaultKind::SilentConnections).await;
}

/// Detects reads without the session's own writes or older than the staleness limit, while replicas
/// lag by an unknown amount and sessions move between proxies. They occur if a replica's age is
/// estimated instead of known.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_replicas_lag() {
    check_fault(FaultKind::ReplicaLag).await;
    check_fault(FaultKind::PausedReplica).await;
}

/// Detects writes that are refused while the platform hangs, is unavailable, is slow or loses
/// replies after it has executed the calls. They occur if the request path waits for the platform.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_the_platform_fails() {
    check_fault(FaultKind::PlatformHangs).await;
    check_fault(FaultKind::PlatformGone).await;
    check_fault(FaultKind::PlatformSlow).await;
    check_fault(FaultKind::LostAnswers).await;
}

/// Detects partial transactions and callers without settings after a proxy is killed and replaced
/// while operators submit concurrently. They occur if state exists only in the killed proxy, or one
/// settings file overwrites another.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_proxies_are_killed_and_operators_race() {
    check_fault(FaultKind::KillProxy).await;
    check_fault(FaultKind::RacingOperators).await;
}

/// Detects callers that are refused for as long as two simultaneous failures last. This occurs if
/// the recovery from one failure depends on a component that the other has disabled.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_two_failures_at_once() {
    check_fault_pair([FaultKind::PlatformHangs, FaultKind::KillPrimary]).await;
    check_fault_pair([FaultKind::CutPrimary, FaultKind::ReplicaLag]).await;
    check_fault_pair([FaultKind::LostAnswers, FaultKind::FreezePrimary]).await;
    check_fault_pair([FaultKind::KillProxy, FaultKind::KillPrimary]).await;
}

/// A keyed write that had committed was refused as "not run" (seeds 1 and 4): its connection went
/// silent before the acknowledgement, the proxy retried until the timeout, and the error code
/// depended on the last attempt only.
#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_write_that_may_have_committed_is_never_reported_as_not_run() {
    for seed in [1, 4] {
        let result = run_schedule(&TrialSchedule::generate(seed)).await;

        assert_eq!(result, (Vec::new(), true, true), "seed {seed}");
    }
}
