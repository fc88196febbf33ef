//! Fault schedules generated from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Time between the starts of two faults, in milliseconds. Faults may last longer and overlap.
const FAULT_GAP_MS: std::ops::Range<u64> = 200..1400;

/// Duration of a fault, in milliseconds.
const FAULT_LENGTH_MS: std::ops::Range<u64> = 200..3500;

/// Time between two kills of processes that promote a member.
const PROMOTER_KILL_INTERVAL: Duration = Duration::from_secs(5);

/// Delay of each direction of the link to a member that answers late.
const LATE_REPLY_TIME: Duration = Duration::from_millis(300);

/// Number of members of the group.
const MEMBERS: usize = 3;

/// Failure of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFailure {
    /// Drops all data without an error; open connections stay silent after the fault ends.
    Silent,
    /// Like `Silent`, but drops replies only.
    NoReplies,
    /// Delays all data until the fault ends.
    Held,
    /// Resets open connections.
    Reset,
    /// Delays all data by this time.
    Slow(Duration),
}

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// Kills a process and starts it again when the fault ends.
    Kill(usize),
    /// Suspends a process.
    Pause(usize),
    /// Terminates a process and starts it again after it has exited.
    Restart(usize),
    /// Signals a process to reload its settings file.
    Reload(usize),
    /// The store rejects all requests as busy.
    StoreBusy,
    /// The store executes writes without sending replies.
    StoreLosesReplies,
    /// Failure of the link between an instance and the store.
    StoreLink(usize, LinkFailure),
    /// Failure of the link between all instances and a member.
    MemberLink(usize, LinkFailure),
    /// Stops a member.
    MemberDown(usize),
    /// Stops the primary for about a second, and kills the process that orders its successor as soon
    /// as the order has been accepted.
    PromoterKilled,
    /// A replica receives nothing from the primary.
    Deaf(usize),
    /// Cuts a member from the store alone, so that its registration expires while it still receives
    /// commits.
    MemberUnlisted(usize),
    /// Starts a replica again with an empty log, behind a cut from the store.
    MemberReborn(usize),
    /// Stops the primary, and kills all processes while it is being changed.
    AllKilledInChange,
    /// The primary announces that it is leaving.
    PrimaryLeaves,
    /// Replicas lag by this time.
    Lag(Duration),
    /// The operator publishes a new version of the settings.
    SettingsChange,
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimedSoakFault {
    pub(crate) at: Duration,
    pub(crate) length: Duration,
    pub(crate) fault: SoakFault,
}

impl TimedSoakFault {
    fn new(at_ms: u64, length_ms: u64, fault: SoakFault) -> Self {
        let (at, length) = (Duration::from_millis(at_ms), Duration::from_millis(length_ms));
        Self { at, length, fault }
    }
}

/// Fault schedule of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SoakPlan {
    pub(crate) faults: Vec<TimedSoakFault>,
    /// Number of program processes.
    pub(crate) instances: usize,
}

impl SoakPlan {
    pub(crate) fn generate(seed: u64, time: Duration, instances: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.random_range(FAULT_GAP_MS));
            if at >= time {
                return Self { faults, instances };
            }
            let length = Duration::from_millis(rng.random_range(FAULT_LENGTH_MS));
            let fault = generate_fault(&mut rng, instances);
            faults.push(TimedSoakFault { at, length, fault });
        }
    }

    /// Returns a plan that kills so many processes while they promote a member, one after the other.
    pub(crate) fn of_killed_promoters(count: usize, instances: usize) -> Self {
        let fault = |number: u32| TimedSoakFault {
            at: PROMOTER_KILL_INTERVAL * (number + 1),
            length: Duration::from_millis(u64::from(900 + 100 * number)),
            fault: SoakFault::PromoterKilled,
        };
        Self { faults: (0..).map(fault).take(count).collect(), instances }
    }

    /// Returns a plan in which the primary is lost while one replica receives nothing and the other
    /// one answers late.
    pub(crate) fn of_late_replica(instances: usize) -> Self {
        let faults = vec![
            TimedSoakFault::new(1000, 7000, SoakFault::Deaf(1)),
            TimedSoakFault::new(
                1000,
                7000,
                SoakFault::MemberLink(2, LinkFailure::Slow(LATE_REPLY_TIME)),
            ),
            TimedSoakFault::new(3000, 5000, SoakFault::MemberDown(0)),
        ];
        Self { faults, instances }
    }

    /// Returns a plan in which the replica that receives the commits is cut from the store, the
    /// primary is lost, and all processes are killed while it is being changed.
    pub(crate) fn of_unlisted_replica(instances: usize) -> Self {
        let faults = vec![
            TimedSoakFault::new(500, 8000, SoakFault::Deaf(1)),
            TimedSoakFault::new(500, 6000, SoakFault::MemberUnlisted(2)),
            TimedSoakFault::new(3000, 5000, SoakFault::AllKilledInChange),
        ];
        Self { faults, instances }
    }

    /// Formats the faults in one line.
    pub(crate) fn summary(&self) -> String {
        let line = |fault: &TimedSoakFault| {
            format!(
                "{:.1}+{:.1} {:?}",
                fault.at.as_secs_f32(),
                fault.length.as_secs_f32(),
                fault.fault
            )
        };
        self.faults.iter().map(line).collect::<Vec<_>>().join("; ")
    }
}

fn generate_fault(rng: &mut StdRng, instances: usize) -> SoakFault {
    let instance = rng.random_range(0..instances);
    let member = rng.random_range(0..MEMBERS);
    match rng.random_range(0..21) {
        0 | 1 => SoakFault::Kill(instance),
        2 => SoakFault::Pause(instance),
        3 => SoakFault::Restart(instance),
        4 => SoakFault::Reload(instance),
        5 => SoakFault::StoreBusy,
        6 => SoakFault::StoreLosesReplies,
        7 | 8 => SoakFault::StoreLink(instance, generate_link_failure(rng)),
        9 => SoakFault::MemberLink(member, generate_link_failure(rng)),
        10 => SoakFault::MemberDown(member),
        11 => SoakFault::PrimaryLeaves,
        12 => SoakFault::Lag(Duration::from_millis(rng.random_range(50..4000))),
        13 | 14 => SoakFault::PromoterKilled,
        15 => SoakFault::Deaf(member),
        16 | 17 => SoakFault::MemberUnlisted(member),
        18 => SoakFault::MemberReborn(member),
        19 => SoakFault::AllKilledInChange,
        _ => SoakFault::SettingsChange,
    }
}

fn generate_link_failure(rng: &mut StdRng) -> LinkFailure {
    match rng.random_range(0..5) {
        0 => LinkFailure::Silent,
        1 => LinkFailure::NoReplies,
        2 => LinkFailure::Held,
        3 => LinkFailure::Reset,
        _ => LinkFailure::Slow(Duration::from_millis(rng.random_range(20..400))),
    }
}
