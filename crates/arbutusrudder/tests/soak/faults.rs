//! Which faults come when, drawn from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The pause between two faults, in milliseconds; they last longer, so that they overlap.
const FAULT_GAP_MS: std::ops::Range<u64> = 200..1400;

/// How long a fault lasts, in milliseconds.
const FAULT_LENGTH_MS: std::ops::Range<u64> = 200..3500;

/// Members of the group.
const MEMBERS: usize = 3;

/// What happens to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkFailure {
    /// Nothing passes, without a word; connections stay silent also afterwards.
    Silent,
    /// The same, in the direction of the answers only.
    NoReplies,
    /// What is sent arrives once the fault is over.
    Held,
    /// Open connections are reset at once.
    Reset,
    /// Everything takes this much longer.
    Slow(Duration),
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SoakFault {
    /// A process is killed, and started again after the fault's length.
    Kill(usize),
    /// A process stands still.
    Pause(usize),
    /// A process is told to stop, and started again when it has ended.
    Restart(usize),
    /// A process is told that its settings file has changed.
    Reload(usize),
    /// The store turns everybody away.
    StoreBusy,
    /// The store does writes and does not answer them.
    StoreLosesReplies,
    /// The link of an instance to the store.
    StoreLink(usize, LinkFailure),
    /// The link of all instances to a member.
    MemberLink(usize, LinkFailure),
    /// A member is down.
    MemberDown(usize),
    /// The primary says that it is leaving.
    PrimaryLeaves,
    /// Replicas are this much behind.
    Lag(Duration),
    /// The operator writes a new version of the settings.
    SettingsChange,
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimedSoakFault {
    pub(crate) at: Duration,
    pub(crate) length: Duration,
    pub(crate) fault: SoakFault,
}

/// The faults of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SoakPlan {
    pub(crate) faults: Vec<TimedSoakFault>,
}

impl SoakPlan {
    pub(crate) fn generate(seed: u64, time: Duration, instances: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.random_range(FAULT_GAP_MS));
            if at >= time {
                return Self { faults };
            }
            let length = Duration::from_millis(rng.random_range(FAULT_LENGTH_MS));
            let fault = generate_fault(&mut rng, instances);
            faults.push(TimedSoakFault { at, length, fault });
        }
    }

    /// The faults in one line.
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
    match rng.random_range(0..14) {
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
