//! Which faults come when, drawn from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The pause between two faults, in milliseconds; they last longer, so that they overlap.
const GAP_MS: std::ops::Range<u64> = 200..1400;

/// How long a fault lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 200..3500;

/// Members of the group.
const MEMBERS: usize = 3;

/// What happens to a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkHarm {
    /// Nothing passes, without a word; connections stay silent also afterwards.
    Silent,
    /// The same, in the direction of the answers only.
    NoAnswers,
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
    StoreLosesAnswers,
    /// The link of an instance to the store.
    StoreLink(usize, LinkHarm),
    /// The link of all instances to a member.
    MemberLink(usize, LinkHarm),
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
    pub(crate) fn draw(seed: u64, time: Duration, instances: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::ZERO;
        loop {
            at += Duration::from_millis(rng.random_range(GAP_MS));
            if at >= time {
                return Self { faults };
            }
            let length = Duration::from_millis(rng.random_range(LENGTH_MS));
            let fault = draw_fault(&mut rng, instances);
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

fn draw_fault(rng: &mut StdRng, instances: usize) -> SoakFault {
    let instance = rng.random_range(0..instances);
    let member = rng.random_range(0..MEMBERS);
    match rng.random_range(0..14) {
        0 | 1 => SoakFault::Kill(instance),
        2 => SoakFault::Pause(instance),
        3 => SoakFault::Restart(instance),
        4 => SoakFault::Reload(instance),
        5 => SoakFault::StoreBusy,
        6 => SoakFault::StoreLosesAnswers,
        7 | 8 => SoakFault::StoreLink(instance, draw_harm(rng)),
        9 => SoakFault::MemberLink(member, draw_harm(rng)),
        10 => SoakFault::MemberDown(member),
        11 => SoakFault::PrimaryLeaves,
        12 => SoakFault::Lag(Duration::from_millis(rng.random_range(50..4000))),
        _ => SoakFault::SettingsChange,
    }
}

fn draw_harm(rng: &mut StdRng) -> LinkHarm {
    match rng.random_range(0..5) {
        0 => LinkHarm::Silent,
        1 => LinkHarm::NoAnswers,
        2 => LinkHarm::Held,
        3 => LinkHarm::Reset,
        _ => LinkHarm::Slow(Duration::from_millis(rng.random_range(20..400))),
    }
}
