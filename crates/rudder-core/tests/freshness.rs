//! Tests that computed ages are never too small and that reads which could return data older than
//! allowed are rejected.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rudder_core::{
    FreshSample, FreshnessSamples, LogStamp, LogTerm, MemberRole, MemberStatus, ReadDecision,
    ReadRequirement, TimedReport, confirm_sample, decide_read,
};
use std::time::Duration;

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn status(role: MemberRole, accepted: u64, received: LogStamp) -> MemberStatus {
    MemberStatus { role, accepted: LogTerm(accepted), received, applied: received }
}

fn report(name: &str, requested_at: u64, status: MemberStatus) -> TimedReport {
    let member = name.parse().expect("a valid name");
    TimedReport { member, requested_at: secs(requested_at), status }
}

fn replica(applied: LogStamp) -> MemberStatus {
    status(MemberRole::Replica, 2, applied)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // A reader receives data older than its bound because the wrong samples were dropped. The
    // computed age must never be less than the age computed from all samples, and must equal it
    // while no sample has been dropped.
    #[test]
    fn age_is_never_too_small(
        mut samples in proptest::collection::vec((0..5000_u64, 0..5000_u64), 1..400),
        applied in 0..5000_u64,
    ) {
        let mut stamps: Vec<_> = samples.iter().map(|sample| sample.1).collect();
        stamps.sort_unstable();
        samples.iter_mut().zip(stamps).for_each(|(sample, stamp)| sample.1 = stamp);
        let sample = |(at, position): (u64, u64)| {
            FreshSample { sent_at: secs(at), stamp: LogStamp::new(1, position) }
        };
        let mut kept = FreshnessSamples::default();

        samples.iter().for_each(|entry| kept.record(sample(*entry)));
        let age = kept.age_of(LogStamp::new(1, applied), secs(5000));

        let covered = samples.iter().filter(|(_, position)| *position <= applied);
        let exact = covered.map(|(at, _)| secs(5000 - at)).min();
        prop_assert!(age.is_none() || age >= exact);
        prop_assert!(samples.len() > 64 || age == exact);
    }
}

#[test]
fn recent_ages_stay_precise_with_many_samples() {
    let mut samples = FreshnessSamples::default();
    for at in 0..10_000 {
        samples.record(FreshSample { sent_at: secs(at), stamp: LogStamp::new(1, at) });
    }

    let ages = [9_999, 9_990, 9_000].map(|at| samples.age_of(LogStamp::new(1, at), secs(10_000)));

    assert_eq!(ages[0], Some(secs(1)));
    assert!(ages[1].is_some_and(|age| age <= secs(15)), "{ages:?}");
    assert!(ages[2].is_some_and(|age| age <= secs(1500)), "{ages:?}");
}

// A replica has stopped applying its log, and the last sample that it covers is old. A reader with a
// bound of five seconds must not receive its data.
#[test]
fn lagging_replica_is_too_old_for_the_bound() {
    let mut samples = FreshnessSamples::default();
    samples.record(FreshSample { sent_at: secs(10), stamp: LogStamp::new(2, 5) });
    samples.record(FreshSample { sent_at: secs(20), stamp: LogStamp::new(2, 9) });
    let requirement = |bound| ReadRequirement { floor: None, bound: secs(bound), as_of: secs(22) };
    let decide = |position, bound| {
        decide_read(&replica(LogStamp::new(2, position)), &requirement(bound), &samples)
    };

    let decisions = [decide(9, 2), decide(9, 1), decide(8, 5), decide(8, 12), decide(4, 9_999)];

    let (serve, too_old) = (ReadDecision::Serve, ReadDecision::TooOldForBound);
    assert_eq!(decisions, [serve, too_old, too_old, serve, too_old]);
}

// A session wrote at term 2 and reads from a member that is still at term 1 with a longer log.
// Compared by position alone, the member would seem to have the write.
#[test]
fn session_floor_compares_terms_first() {
    let mut samples = FreshnessSamples::default();
    samples.record(FreshSample { sent_at: secs(10), stamp: LogStamp::new(1, 1) });
    let requirement =
        ReadRequirement { floor: Some(LogStamp::new(2, 5)), bound: secs(60), as_of: secs(11) };
    let decide = |term, position| {
        decide_read(&replica(LogStamp::new(term, position)), &requirement, &samples)
    };

    let decisions = [decide(1, 90), decide(2, 4), decide(2, 5)];

    let too_old = ReadDecision::TooOldForSession;
    assert_eq!(decisions, [too_old, too_old, ReadDecision::Serve]);
}

// A primary is isolated from its group but still responds to this proxy. Its log may no longer be
// the newest; only a majority at its own term confirms it.
#[test]
fn isolated_primary_gives_no_sample() {
    // The primary was just restarted and has not yet applied again what it acknowledged.
    let applied = LogStamp::new(1, 8);
    let primary = status(MemberRole::Primary, 1, LogStamp::new(1, 9));
    let primary = MemberStatus { applied, ..primary };
    let behind = status(MemberRole::Replica, 1, LogStamp::new(1, 7));
    let fenced = status(MemberRole::Replica, 2, LogStamp::new(1, 7));

    let alone = confirm_sample(3, &[report("m0", 5, primary)]);
    let superseded = [report("m0", 5, primary), report("m1", 5, behind), report("m2", 5, fenced)];
    let superseded = confirm_sample(3, &superseded);
    let confirmed = confirm_sample(3, &[report("m0", 5, primary), report("m1", 4, behind)]);

    let sample = FreshSample { sent_at: secs(4), stamp: LogStamp::new(1, 9) };
    assert_eq!((alone, superseded, confirmed), (None, None, Some(sample)));
}

// A peer's sample was a second old when the peer responded, and the response was slow. If the age
// were counted from its arrival, the data would seem fresher than it is.
#[test]
fn round_trip_is_added_to_a_peers_age() {
    let mut samples = FreshnessSamples::default();
    samples.record_peer_sample(secs(10), secs(1), LogStamp::new(1, 3));

    let age = samples.age_of(LogStamp::new(1, 3), secs(14));

    assert_eq!(age, Some(secs(5)));
}
