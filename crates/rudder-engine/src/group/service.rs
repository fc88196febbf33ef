//! One service: its members, its primary, and what is known of their logs.

use super::member::{GroupMember, MemberEntry, reuse_or_create};
use crate::border::MemberDialer;
use crate::clock::boot_time;
use crate::lead::{LeadRecord, LeaderEpoch, LeaderLease, LeaseTable, PositionHistory};
use crate::sync::lock;
use rudder_core::{FreshSample, InstanceName, LogStamp, MemberName, ServiceName};
use rudder_decisions::ConnectionShare;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// One service.
pub(crate) struct ServiceGroup {
    service: ServiceName,
    state: Mutex<GroupState>,
    changed: Notify,
}

#[derive(Default)]
struct GroupState {
    /// Sorted by name.
    members: Vec<Arc<GroupMember>>,
    leases: LeaseTable,
    history: PositionHistory,
    /// Since when the watch of the primary has failed.
    silent_since: Option<Duration>,
}

impl GroupState {
    /// The primary, if the list lacks it and it may still be used.
    ///
    /// Guards against strict work that ends seconds before the primary is replaced: a primary that
    /// is cut off from the store, and from nothing else, drops out of the list although it serves.
    fn unlisted_primary(
        &self,
        known: &[Arc<GroupMember>],
        listed: &[Arc<GroupMember>],
    ) -> Option<Arc<GroupMember>> {
        let primary = self.leases.record()?.primary()?;
        let member = known.iter().find(|member| member.name() == primary)?;
        let missing = !listed.iter().any(|kept| kept.name() == primary);
        (missing && member.mark_unlisted()).then(|| Arc::clone(member))
    }
}

impl ServiceGroup {
    pub(crate) fn new(service: ServiceName) -> Arc<Self> {
        Arc::new(Self { service, state: Mutex::default(), changed: Notify::new() })
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    fn state(&self) -> MutexGuard<'_, GroupState> {
        lock(&self.state)
    }

    pub(crate) fn members(&self) -> Vec<Arc<GroupMember>> {
        self.state().members.clone()
    }

    pub(crate) fn member(&self, name: &MemberName) -> Option<Arc<GroupMember>> {
        let state = self.state();
        let found = state.members.binary_search_by(|member| member.name().cmp(name));
        found.ok().map(|index| Arc::clone(&state.members[index]))
    }

    /// Reads or changes what is known of the primary.
    pub(crate) fn with_leases<T>(&self, use_leases: impl FnOnce(&mut LeaseTable) -> T) -> T {
        use_leases(&mut self.state().leases)
    }

    /// What is known of the primary and its newest sample, which belong to the same version.
    pub(crate) fn knowledge(&self) -> (LeaseTable, Option<FreshSample>) {
        let state = self.state();
        (state.leases.clone(), state.history.newest())
    }

    /// Replaces the list of members.
    pub(crate) fn set_members(&self, entries: &[MemberEntry], dialer: &Arc<dyn MemberDialer>) {
        let mut state = self.state();
        let known = std::mem::take(&mut state.members);
        let mut members: Vec<_> =
            entries.iter().map(|entry| reuse_or_create(&known, entry, dialer)).collect();
        members.extend(state.unlisted_primary(&known, &members));
        members.sort_by(|left, right| left.name().cmp(right.name()));
        state.members = members.clone();
        drop(state);
        close_removed(&known, &members);
        self.changed.notify_waiters();
    }

    /// Drops a primary that has been missing from the list for long, or leads no more.
    pub(crate) fn drop_unlisted(&self) {
        let mut state = self.state();
        if state.members.iter().all(|member| member.is_listed()) {
            return;
        }
        let known = std::mem::take(&mut state.members);
        let mut members = known.clone();
        members.retain(|member| member.is_listed());
        members.extend(state.unlisted_primary(&known, &members));
        members.sort_by(|left, right| left.name().cmp(right.name()));
        state.members = members.clone();
        drop(state);
        close_removed(&known, &members);
    }

    /// Takes in a version of the record; returns whether it is a new one.
    pub(crate) fn observe(&self, record: &LeadRecord, confirmed_at: Duration) -> bool {
        let now = boot_time();
        let mut state = self.state();
        let new = state.leases.observe(record, confirmed_at, now);
        if new {
            if record.primary().is_some() {
                state.history.clear();
            }
            state.silent_since = None;
            log::info!(
                service:% = self.service, epoch:% = record.epoch, phase:? = record.phase,
                age_ms = (now.saturating_sub(confirmed_at)).as_millis();
                "the record of the primary changed"
            );
        }
        drop(state);
        // Also without a change: a lease that had expired is good again.
        self.changed.notify_waiters();
        new
    }

    /// Takes in that most instances knew of no later version at `majority_at`.
    /// Returns whether that is later than was known.
    pub(crate) fn confirm_by_majority(&self, epoch: LeaderEpoch, majority_at: Duration) -> bool {
        let later = self.state().leases.confirm_by_majority(epoch, majority_at);
        self.changed.notify_waiters();
        later
    }

    /// The primary and the permission to answer for it.
    pub(crate) fn leader(&self) -> Option<(Arc<GroupMember>, LeaderLease)> {
        let lease = self.state().leases.lease(boot_time())?;
        let member = self.member(&lease.primary)?;
        Some((member, lease))
    }

    /// Whether an answer under `lease` may still go out.
    pub(crate) fn holds(&self, lease: &LeaderLease) -> bool {
        self.state().leases.holds(lease, boot_time())
    }

    /// Waits until something changes, at most until `timeout` is over.
    pub(crate) async fn wait_changed(&self, timeout: Duration) {
        let changed = self.changed.notified();
        // Over means that nothing changed; the caller looks again in either case.
        let _ = tokio::time::timeout(timeout, changed).await;
    }

    /// Takes in a position that the primary had when it answered a question sent at `sent_at`.
    pub(crate) fn note_position(&self, lease: &LeaderLease, sent_at: Duration, stamp: LogStamp) {
        let mut state = self.state();
        let current = state.leases.epoch() == lease.epoch;
        if current && state.leases.holds(lease, sent_at) {
            state.history.note(FreshSample { sent_at, stamp });
            state.silent_since = None;
        }
    }

    /// Takes in that the watch of a version's primary failed from `since` on.
    pub(crate) fn note_silence(&self, epoch: LeaderEpoch, since: Duration) {
        let mut state = self.state();
        if state.leases.epoch() == epoch {
            state.silent_since.get_or_insert(since);
        }
    }

    /// Takes in a peer's sample of a version's primary.
    pub(crate) fn note_peer_sample(&self, epoch: LeaderEpoch, sent_at: Duration, stamp: LogStamp) {
        let lease = self.state().leases.lease(boot_time());
        if let Some(lease) = lease.filter(|lease| lease.epoch == epoch) {
            self.note_position(&lease, sent_at, stamp);
            self.changed.notify_waiters();
        }
    }

    /// The newest sample.
    pub(crate) fn newest_sample(&self) -> Option<FreshSample> {
        self.state().history.newest()
    }

    /// Takes in that the primary answered its watch.
    pub(crate) fn note_alive(&self) {
        self.state().silent_since = None;
    }

    /// Since when the watch of the primary has failed.
    pub(crate) fn silent_since(&self) -> Option<Duration> {
        self.state().silent_since
    }

    /// What a member must hold for a read with `bound`; none if that is not known.
    pub(crate) fn bounded_floor(&self, bound: Duration) -> Option<LogStamp> {
        self.state().history.floor(bound, boot_time())
    }

    /// How long ago the primary reached a position, as far as is known.
    pub(crate) fn age_of(&self, floor: LogStamp) -> Duration {
        self.state().history.age_of(floor, boot_time())
    }

    /// Takes in how far a member's log is applied.
    pub(crate) fn record_applied(&self, member: &GroupMember, stamp: LogStamp) {
        let lag = self.state().history.lag_of(stamp, boot_time());
        member.record_applied(stamp, lag);
    }

    /// The primary's newest known position.
    pub(crate) fn newest_position(&self) -> Option<LogStamp> {
        self.newest_sample().map(|sample| sample.stamp)
    }

    /// What a session must see after changes of primary.
    pub(crate) fn reachable(&self, floor: LogStamp) -> LogStamp {
        let state = self.state();
        state.leases.record().map_or(floor, |record| record.reachable(floor))
    }

    /// Deals the members' connections out anew among `all` instances.
    pub(crate) fn set_shares(
        &self,
        connections_max: u32,
        own: &InstanceName,
        all: &[InstanceName],
    ) {
        let scarce = ConnectionShare::is_scarce(connections_max, all.len());
        for member in self.members() {
            let share = ConnectionShare::of(connections_max, member.name(), own, all);
            member.pool().set_share(share, scarce);
        }
    }
}

/// Closes the connections to members that are no longer used.
fn close_removed(known: &[Arc<GroupMember>], kept: &[Arc<GroupMember>]) {
    for member in known {
        if !kept.iter().any(|kept| Arc::ptr_eq(kept, member)) {
            member.pool().set_share(ConnectionShare::default(), false);
        }
    }
}
