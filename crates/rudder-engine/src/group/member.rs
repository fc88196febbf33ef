//! One member of a service, as this instance knows it.

use super::pool::MemberPool;
use crate::border::{MemberDialer, MemberTarget};
use crate::clock::boot_time;
use crate::sync::lock;
use rudder_core::{DomainName, LogStamp, MemberName, MemberRole, plain_data};
use rudder_decisions::{NodePlace, ReplicaProgress};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a member is tried last after it failed a read: it is slow or busy for about as long.
const FAILED_READ_PENALTY: Duration = Duration::from_millis(250);

/// How long a primary that is missing from the list is still used. Longer than its absence lasts
/// before it is replaced (2.6 s and a turn of 0.3 s); half of the time for which deployments let
/// members that are gone be sent work (7 s and more).
const UNLISTED_PRIMARY_GRACE: Duration = Duration::from_millis(3500);

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

plain_data! {
    /// What a member says of itself.
    #[derive(Serialize, Deserialize)]
    pub struct MemberEntry {
        /// Where it is and who it is.
        pub target: MemberTarget,
        /// Its failure domain.
        pub domain: DomainName,
        /// The region of that domain.
        pub region: String,
        /// Whether it takes new work.
        pub state: MemberState,
        /// How it sees its own role.
        pub role: MemberRole,
        /// When it started, in milliseconds since 1970: a restarted member knows nothing of before.
        pub born: u64,
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
    /// Since when the list has lacked it.
    unlisted_since: Option<Duration>,
    /// Since when it has said that it is leaving.
    leaving_since: Option<Duration>,
}

impl GroupMember {
    pub(super) fn new(entry: MemberEntry, dialer: &Arc<dyn MemberDialer>) -> Arc<Self> {
        let pool = MemberPool::new(entry.target.clone(), Arc::clone(dialer), 1);
        let leaving_since = (entry.state == MemberState::Draining).then(boot_time);
        Arc::new(Self {
            name: entry.target.member.clone(),
            domain: entry.domain.clone(),
            region: entry.region.clone(),
            entry: Mutex::new(entry),
            pool,
            observations: Mutex::new(MemberObservations {
                leaving_since,
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

    /// Whether reads may be sent to it: from the moment that it says it is leaving, none are.
    pub(crate) fn serves_reads(&self) -> bool {
        lock(&self.entry).state == MemberState::Ready
    }

    /// Whether it has been leaving for `limit` or longer.
    pub(crate) fn has_left(&self, limit: Duration) -> bool {
        let since = lock(&self.observations).leaving_since;
        since.is_some_and(|since| boot_time() >= since + limit)
    }

    /// Whether the list of members names it.
    pub(crate) fn is_listed(&self) -> bool {
        lock(&self.observations).unlisted_since.is_none()
    }

    /// Takes in that the list lacks it; returns whether it may still be used.
    pub(super) fn mark_unlisted(&self) -> bool {
        let now = boot_time();
        now < *lock(&self.observations).unlisted_since.get_or_insert(now) + UNLISTED_PRIMARY_GRACE
    }

    /// Takes in how far its log is applied, and for how long the primary has been farther.
    pub(crate) fn record_applied(&self, stamp: LogStamp, lag: Duration) {
        lock(&self.observations).progress.note(stamp, lag, boot_time());
    }

    /// Takes in that a read that needs `floor` is being sent to it.
    pub(crate) fn record_attempt(&self, floor: LogStamp) {
        lock(&self.observations).progress.note_tried(floor, boot_time());
    }

    /// Tries it last for a moment.
    pub(crate) fn deprioritize(&self) {
        lock(&self.observations).deprioritized_until = boot_time() + FAILED_READ_PENALTY;
    }

    pub(crate) fn is_deprioritized(&self) -> bool {
        boot_time() < lock(&self.observations).deprioritized_until
    }

    /// Whether it most likely still lacks `floor`, which the primary reached `age` ago.
    pub(crate) fn lacks(&self, floor: LogStamp, age: Duration) -> bool {
        lock(&self.observations).progress.lacks(floor, age, boot_time())
    }
}

/// Keeps a known member with its connections, unless it moved or started anew: then connections
/// and what is known of its log are of no more use.
pub(super) fn reuse_or_create(
    known: &[Arc<GroupMember>],
    entry: &MemberEntry,
    dialer: &Arc<dyn MemberDialer>,
) -> Arc<GroupMember> {
    let same = known.iter().find(|member| {
        let before = member.entry();
        before.target == entry.target && before.born == entry.born && before.domain == entry.domain
    });
    let Some(member) = same else { return GroupMember::new(entry.clone(), dialer) };
    *lock(&member.entry) = entry.clone();
    let leaving = entry.state == MemberState::Draining;
    {
        let mut observations = lock(&member.observations);
        observations.unlisted_since = None;
        let since = observations.leaving_since.unwrap_or_else(boot_time);
        observations.leaving_since = leaving.then_some(since);
    }
    if leaving {
        member.pool.close_idle();
    }
    Arc::clone(member)
}
