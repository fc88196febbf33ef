//! The promises under each failure that users name, alone and in pairs: concurrent callers, faults
//! at fixed times, and the history checker over what they were told.

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

/// What a user would see: a lost order, a doubled page claim, a read without the session's own
/// write, a refusal "not run" for what ran, or writes refused for good.
/// Order: callers write, read, repeat and roam; the primary or its links fail and come back.
/// Cause: a superseded primary, a promotion that drops entries, a member believed too long.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_the_primary_fails() {
    check_fault(FaultKind::KillPrimary).await;
    check_fault(FaultKind::FreezePrimary).await;
    check_fault(FaultKind::CutPrimary).await;
}

/// What a user would see: as above, or a promotion although only one proxy lost sight.
/// Order: one proxy's link is cut both ways or one way, or open connections go silent.
/// Cause: what one instance sees is taken for what is so.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_links_fail() {
    check_fault(FaultKind::CutLink).await;
    check_fault(FaultKind::DeafLink).await;
    check_fault(FaultKind::SilentConnections).await;
}

/// What a user would see: a read without the session's own write, or yesterday's picture.
/// Order: replicas fall behind by an unknown amount; sessions move between proxies.
/// Cause: a replica's age is guessed instead of known.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_replicas_lag() {
    check_fault(FaultKind::ReplicaLag).await;
    check_fault(FaultKind::PausedReplica).await;
}

/// What a user would see: writes refused for as long as the platform is away.
/// Order: the platform hangs, is gone, is slow, or loses answers after their effect.
/// Cause: something on the way of a request waits for the platform.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_the_platform_fails() {
    check_fault(FaultKind::PlatformHangs).await;
    check_fault(FaultKind::PlatformGone).await;
    check_fault(FaultKind::PlatformSlow).await;
    check_fault(FaultKind::LostAnswers).await;
}

/// What a user would see: a transaction half done, or callers of the new proxy without settings.
/// Order: a proxy dies and another takes its place; operators race meanwhile.
/// Cause: state that only the dead proxy had; a file that overwrites another.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_when_proxies_are_killed_and_operators_race() {
    check_fault(FaultKind::KillProxy).await;
    check_fault(FaultKind::RacingOperators).await;
}

/// What a user would see: crews locked out for as long as both failures last.
/// Order: two failures in the same moment.
/// Cause: a remedy for one that needs what the other took away.
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_two_failures_at_once() {
    check_fault_pair([FaultKind::PlatformHangs, FaultKind::KillPrimary]).await;
    check_fault_pair([FaultKind::CutPrimary, FaultKind::ReplicaLag]).await;
    check_fault_pair([FaultKind::LostAnswers, FaultKind::FreezePrimary]).await;
    check_fault_pair([FaultKind::KillProxy, FaultKind::KillPrimary]).await;
}

/// What a user saw: a page claim refused as "not run" that was there afterwards.
/// Order (seeds 1 and 4): a claim under a key is sent, its connection goes silent before the
/// acknowledgement, the proxy tries again until its time is over, and refuses.
/// Cause: the refusal's word was chosen by the last attempt alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_write_that_may_have_committed_is_never_reported_as_not_run() {
    for seed in [1, 4] {
        let result = run_schedule(&TrialSchedule::generate(seed)).await;

        assert_eq!(result, (Vec::new(), true, true), "seed {seed}");
    }
}
