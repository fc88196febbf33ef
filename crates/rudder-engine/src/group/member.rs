//! One member of a service with its connection pool and this instance's observations of it.

use super::pool::MemberPool;
use crate::clock::boot_time;
use crate::interfaces::{MemberDialer, MemberTarget};
use crate::sync::lock;
use rudder_core::{DomainName, LogStamp, MemberName, MemberRole, plain_data};
use rudder_decisions::{NodePlace, ReplicaProgress};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time for which a member is ordered last after it failed a read. Members are slow or busy for
/// about as long.
const FAILED_READ_PENALTY: Duration = Duration::from_millis(250);

/// Time for which a primary that is missing from the membership is still used. Longer than the time
/// until an absent primary is replaced (2.6 s and one cycle of 0.3 s), and half of the time for
/// which deployments allow work to be sent to removed members (7 s and more).
const UNLISTED_PRIMARY_GRACE: Duration = Duration::from_millis(3500);

/// Whether a member accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member accepts new work.
    Ready,
    /// The member is draining and accepts no new work.
    Draining,
}

plain_data! {
    /// A member's registration, as published by the member.
    #[derive(Serialize, Deserialize)]
    pub struct MemberEntry {
        /// Service, name and address of the member.
        pub target: MemberTarget,
        /// Failure domain of the member.
        pub domain: DomainName,
        /// Region of the failure domain.
        pub region: String,
        /// Whether the member accepts new work.
        pub state: MemberState,
        /// Role that the member reports for itself.
        pub role: MemberRole,
        /// Start time in milliseconds since 1970. A restarted member keeps no state from before.
        #[serde(rename = "born")]
        pub started_at_ms: u64,
    }
}

/// One member of a service.
pub(crate) struct GroupMember {
    entry: Mutex<MemberEntry>,
    name: MemberName,
    domain: DomainName,
    region: String,
    pool: Arc<MemberPool>,
    observations: Mutex<MemberObservations>,
}

#[derive(Debug, Default)]
struct MemberObservations {
    progress: ReplicaProgress,
    deprioritized_until: Duration,
    /// Time at which the member was first missing from the membership.
    unlisted_since: Option<Duration>,
    /// Time at which the member was first reported as draining.
    draining_since: Option<Duration>,
}

impl GroupMember {
    pub(super) fn new(entry: MemberEntry, dialer: &Arc<dyn MemberDialer>) -> Arc<Self> {
        let pool = MemberPool::new(entry.target.clone(), Arc::clone(dialer), 1);
        let draining_since = (entry.state == MemberState::Draining).then(boot_time);
        Arc::new(Self {
            name: entry.target.member.clone(),
            domain: entry.domain.clone(),
            region: entry.region.clone(),
            entry: Mutex::new(entry),
            pool,
            observations: Mutex::new(MemberObservations {
                draining_since,
                ..MemberObservations::default()
            }),
        })
    }

    pub(crate) fn name(&self) -> &MemberName {
        &self.name
    }

    pub(crate) fn place(&self) -> NodePlace {
        NodePlace { domain: self.domain.clone(), region: self.region.clone() }
    }

    pub(crate) fn pool(&self) -> &Arc<MemberPool> {
        &self.pool
    }

    pub(crate) fn entry(&self) -> MemberEntry {
        lock(&self.entry).clone()
    }

    /// Whether the member's registration is `entry`.
    pub(super) fn has_entry(&self, entry: &MemberEntry) -> bool {
        *lock(&self.entry) == *entry
    }

    /// Whether reads may be sent to the member: none once it is draining.
    pub(crate) fn serves_reads(&self) -> bool {
        lock(&self.entry).state == MemberState::Ready
    }

    /// Whether the member reports that it is the primary.
    pub(super) fn reports_primary(&self) -> bool {
        lock(&self.entry).role == MemberRole::Primary
    }

    /// Whether the member has been draining for at least `limit`.
    pub(crate) fn has_drained_for(&self, limit: Duration) -> bool {
        let since = lock(&self.observations).draining_since;
        since.is_some_and(|since| boot_time() >= since + limit)
    }

    /// Whether the member is in the membership.
    pub(crate) fn is_listed(&self) -> bool {
        lock(&self.observations).unlisted_since.is_none()
    }

    /// Records that the member is missing from the membership; returns whether it may still be
    /// used.
    pub(super) fn mark_unlisted(&self) -> bool {
        let now = boot_time();
        now < *lock(&self.observations).unlisted_since.get_or_insert(now) + UNLISTED_PRIMARY_GRACE
    }

    /// Records the applied log position and for how long the primary has been ahead of it.
    pub(crate) fn record_applied(&self, stamp: LogStamp, lag: Duration) {
        lock(&self.observations).progress.record(stamp, lag, boot_time());
    }

    /// Records that a read with this floor is being sent to the member.
    pub(crate) fn record_attempt(&self, floor: LogStamp) {
        lock(&self.observations).progress.record_attempt(floor, boot_time());
    }

    /// Orders the member last for [`FAILED_READ_PENALTY`].
    pub(crate) fn deprioritize(&self) {
        lock(&self.observations).deprioritized_until = boot_time() + FAILED_READ_PENALTY;
    }

    pub(crate) fn is_deprioritized(&self) -> bool {
        boot_time() < lock(&self.observations).deprioritized_until
    }

    /// Whether the member most likely has not applied `floor`, which the primary reached `age` ago.
    pub(crate) fn lacks(&self, floor: LogStamp, age: Duration) -> bool {
        lock(&self.observations).progress.lacks(floor, age, boot_time())
    }
}

/// Returns the known member with its connections, or a new one if the member moved or restarted, as
/// its connections and observed log position are then invalid.
pub(super) fn reuse_or_create(
    known: &[Arc<GroupMember>],
    entry: &MemberEntry,
    dialer: &Arc<dyn MemberDialer>,
) -> Arc<GroupMember> {
    let same = known.iter().find(|member| {
        let before = member.entry();
        before.target == entry.target
            && before.started_at_ms == entry.started_at_ms
            && before.domain == entry.domain
    });
    let Some(member) = same else { return GroupMember::new(entry.clone(), dialer) };
    *lock(&member.entry) = entry.clone();
    let is_draining = entry.state == MemberState::Draining;
    {
        let mut observations = lock(&member.observations);
        observations.unlisted_since = None;
        let since = observations.draining_since.unwrap_or_else(boot_time);
        observations.draining_since = is_draining.then_some(since);
    }
    if is_draining {
        member.pool.close_idle();
    }
    Arc::clone(member)
}
