//! Faults with their start and end times, generated from a seed.

use super::caller::TrialShared;
use crate::deployment::Deployment;
use crate::group::MemberKnob;
use crate::link::{LinkDirection, LinkFault};
use crate::platform::{PlatformFaults, PlatformOutage};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_core::{MemberName, MemberRole, plain_data};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time for which callers still run after the last fault has ended.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Kind of a simulated fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The primary is killed; it restarts as a replica without a primary when the fault ends.
    KillPrimary,
    /// The primary stops responding and resumes when the fault ends.
    FreezePrimary,
    /// The primary keeps running, but is partitioned from members and proxies.
    CutPrimary,
    /// One proxy loses its link to the primary in both directions.
    CutLink,
    /// One proxy can send to the primary, but receives no responses.
    DeafLink,
    /// The present connections of every proxy to the primary become silent permanently; new ones
    /// work.
    SilentConnections,
    /// The replicas apply commits late.
    ReplicaLag,
    /// One replica receives no commits.
    PausedReplica,
    /// The platform accepts connections, but sends no responses.
    PlatformHangs,
    /// The platform refuses connections.
    PlatformGone,
    /// Each call to the platform takes half a second.
    PlatformSlow,
    /// The next changes take effect at the platform, but their responses are lost.
    LostAnswers,
    /// A proxy is killed and replaced when the fault ends.
    KillProxy,
    /// Two operators submit conflicting files at the same moment.
    RacingOperators,
}

/// All kinds of fault, for generated schedules.
const ALL_FAULTS: [FaultKind; 14] = [
    FaultKind::KillPrimary,
    FaultKind::FreezePrimary,
    FaultKind::CutPrimary,
    FaultKind::CutLink,
    FaultKind::DeafLink,
    FaultKind::SilentConnections,
    FaultKind::ReplicaLag,
    FaultKind::PausedReplica,
    FaultKind::PlatformHangs,
    FaultKind::PlatformGone,
    FaultKind::PlatformSlow,
    FaultKind::LostAnswers,
    FaultKind::KillProxy,
    FaultKind::RacingOperators,
];

plain_data! {
    /// A fault with its start and end, relative to the start of the run.
    #[derive(Copy)]
    pub struct TimedFault {
        /// Kind of the fault.
        pub kind: FaultKind,
        /// Start of the fault.
        pub from: Duration,
        /// End of the fault.
        pub until: Duration,
        /// Index of the affected proxy, for faults that affect a single one.
        pub proxy: usize,
    }
}

plain_data! {
    /// Schedule of faults of one run.
    pub struct TrialSchedule {
        /// Faults in any order.
        pub faults: Vec<TimedFault>,
        /// Time for which callers run.
        pub length: Duration,
        /// Random seed of the callers.
        pub seed: u64,
    }
}

impl TrialSchedule {
    /// Returns a schedule with a single fault that starts after 0.4 s and lasts for `duration`.
    ///
    /// ```
    /// use rudder_standins::{FaultKind, TrialSchedule};
    /// use std::time::Duration;
    /// let schedule = TrialSchedule::single(FaultKind::CutLink, Duration::from_secs(1), 7);
    /// assert_eq!(schedule.faults.len(), 1);
    /// ```
    #[must_use]
    pub fn single(kind: FaultKind, duration: Duration, seed: u64) -> Self {
        let from = Duration::from_millis(400);
        let until = from + duration;
        let faults = vec![TimedFault { kind, from, until, proxy: 0 }];
        Self { faults, length: until + SETTLE_TIME, seed }
    }

    /// Returns a schedule with two simultaneous faults.
    ///
    /// ```
    /// use rudder_standins::{FaultKind, TrialSchedule};
    /// use std::time::Duration;
    /// let kinds = [FaultKind::PlatformHangs, FaultKind::KillPrimary];
    /// let schedule = TrialSchedule::pair(kinds, Duration::from_secs(1), 7);
    /// assert_eq!(schedule.faults.len(), 2);
    /// ```
    #[must_use]
    pub fn pair(kinds: [FaultKind; 2], duration: Duration, seed: u64) -> Self {
        let mut schedule = Self::single(kinds[0], duration, seed);
        let first = schedule.faults[0];
        schedule.faults.push(TimedFault { kind: kinds[1], proxy: 1, ..first });
        schedule
    }

    /// Generates two to four faults of any kind, which may overlap.
    ///
    /// ```
    /// use rudder_standins::TrialSchedule;
    /// assert_eq!(TrialSchedule::generate(3), TrialSchedule::generate(3));
    /// ```
    #[must_use]
    pub fn generate(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let count = rng.random_range(2..=4);
        let faults: Vec<TimedFault> = (0..count)
            .map(|_| {
                let from = Duration::from_millis(rng.random_range(200..2_000));
                let duration = Duration::from_millis(rng.random_range(200..2_500));
                let kind = ALL_FAULTS[rng.random_range(0..ALL_FAULTS.len())];
                TimedFault { kind, from, until: from + duration, proxy: rng.random_range(0..3) }
            })
            .collect();
        let end = faults.iter().map(|fault| fault.until).max().unwrap_or_default();
        Self { faults, length: end + SETTLE_TIME, seed }
    }

    /// Starts and ends the faults at their times, then waits for the end of the run.
    pub(super) async fn run_faults(&self, deployment: &mut Deployment, shared: &TrialShared) {
        let started = Instant::now();
        let mut steps: Vec<(Duration, TimedFault, bool)> = Vec::new();
        for fault in &self.faults {
            steps.push((fault.from, *fault, true));
            steps.push((fault.until, *fault, false));
        }
        steps.sort_by_key(|(at, _, _)| *at);
        let mut active: Vec<(TimedFault, usize)> = Vec::new();
        for (at, fault, begins) in steps {
            sleep_until(started + at).await;
            if begins {
                let member = primary_index(deployment);
                active.push((fault, member));
                start_fault(deployment, shared, fault, member).await;
            } else if let Some(index) = active.iter().position(|(known, _)| *known == fault) {
                let (_, member) = active.remove(index);
                end_fault(deployment, shared, fault, member).await;
            }
        }
        sleep_until(started + self.length).await;
    }
}

fn primary_index(deployment: &Deployment) -> usize {
    let group = &deployment.groups[0];
    let terms = group.members().enumerate().filter_map(|(index, (name, _))| {
        let status = group.status(name).ok()?;
        (status.role == MemberRole::Primary).then_some((status.accepted, index))
    });
    terms.max().map_or(0, |(_, index)| index)
}

async fn start_fault(
    deployment: &mut Deployment,
    shared: &TrialShared,
    fault: TimedFault,
    member: usize,
) {
    let replica = (member + 1) % 3;
    match fault.kind {
        FaultKind::KillPrimary => set_knob(deployment, member, MemberKnob::Kill),
        FaultKind::FreezePrimary => set_knob(deployment, member, MemberKnob::Frozen(true)),
        FaultKind::CutPrimary => {
            set_knob(deployment, member, MemberKnob::Cut(true));
            deployment.links.iter().for_each(|links| links.members[0][member].cut());
        }
        FaultKind::CutLink => deployment.links[fault.proxy].members[0][member].cut(),
        FaultKind::DeafLink => deployment.links[fault.proxy].members[0][member]
            .set_fault(LinkDirection::Backward, LinkFault::Drop),
        FaultKind::SilentConnections => {
            for links in &deployment.links {
                links.members[0][member].cut();
            }
            // Traffic sent during this interval is lost permanently; later traffic is not.
            tokio::time::sleep(Duration::from_millis(30)).await;
            deployment.links.iter().for_each(|links| links.members[0][member].heal());
        }
        FaultKind::ReplicaLag => {
            let lag = MemberKnob::ApplyLag(Duration::from_millis(600));
            set_knob(deployment, replica, lag);
            set_knob(deployment, (member + 2) % 3, lag);
        }
        FaultKind::PausedReplica => set_knob(deployment, replica, MemberKnob::Paused(true)),
        FaultKind::PlatformHangs => set_outage(deployment, PlatformOutage::Hanging),
        FaultKind::PlatformGone => set_outage(deployment, PlatformOutage::Refused),
        FaultKind::PlatformSlow => {
            let faults = PlatformFaults { latency_ms: 500, ..deployment.platform.faults() };
            deployment.platform.set_faults(faults);
        }
        FaultKind::LostAnswers => {
            let faults = PlatformFaults { lost_answers: 4, ..deployment.platform.faults() };
            deployment.platform.set_faults(faults);
        }
        FaultKind::KillProxy => {
            deployment.proxies[fault.proxy] = None;
            shared.replace_proxy(fault.proxy, None);
        }
        FaultKind::RacingOperators => submit_conflicting_files(deployment).await,
    }
}

async fn end_fault(
    deployment: &mut Deployment,
    shared: &TrialShared,
    fault: TimedFault,
    member: usize,
) {
    let replica = (member + 1) % 3;
    match fault.kind {
        FaultKind::KillPrimary => set_knob(deployment, member, MemberKnob::Restart),
        FaultKind::FreezePrimary => set_knob(deployment, member, MemberKnob::Frozen(false)),
        FaultKind::CutPrimary => {
            set_knob(deployment, member, MemberKnob::Cut(false));
            deployment.links.iter().for_each(|links| links.members[0][member].heal());
        }
        FaultKind::CutLink | FaultKind::DeafLink => {
            deployment.links[fault.proxy].members[0][member].heal();
        }
        FaultKind::ReplicaLag => {
            set_knob(deployment, replica, MemberKnob::ApplyLag(Duration::ZERO));
            set_knob(deployment, (member + 2) % 3, MemberKnob::ApplyLag(Duration::ZERO));
        }
        FaultKind::PausedReplica => set_knob(deployment, replica, MemberKnob::Paused(false)),
        FaultKind::PlatformHangs
        | FaultKind::PlatformGone
        | FaultKind::PlatformSlow
        | FaultKind::LostAnswers => deployment.platform.set_faults(PlatformFaults::default()),
        FaultKind::KillProxy => {
            if deployment.proxies[fault.proxy].is_none()
                && let Ok(index) = deployment.add_proxy().await
            {
                let address = deployment.proxy(index).listen_address();
                shared.replace_proxy(fault.proxy, Some(address));
            }
        }
        FaultKind::SilentConnections | FaultKind::RacingOperators => {}
    }
}

fn set_knob(deployment: &Deployment, member: usize, knob: MemberKnob) {
    let name: Option<MemberName> =
        deployment.groups[0].members().nth(member).map(|(name, _)| name.clone());
    if let Some(name) = name {
        // A change may not apply to the state left by an overlapping fault; the run continues
        // without it.
        let _ = deployment.groups[0].turn(&name, knob);
    }
}

fn set_outage(deployment: &Deployment, outage: PlatformOutage) {
    let faults = PlatformFaults { outage, ..deployment.platform.faults() };
    deployment.platform.set_faults(faults);
}

/// Submits two files with different values for one key concurrently. Either result is valid: the
/// platform accepts both in some order, or refuses them.
async fn submit_conflicting_files(deployment: &Deployment) {
    let file = |wait: &str| format!("[timing]\nread_wait = \"{wait}\"\n");
    let (first, second) = (file("40ms"), file("60ms"));
    let _ = tokio::join!(
        deployment.submit("50-first.toml", &first),
        deployment.submit("50-second.toml", &second),
    );
}
