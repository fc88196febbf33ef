//! One service: its members, its primary's lease, and the observed log positions.

use super::departures::DepartureLog;
use super::member::{GroupMember, MemberEntry, reuse_or_create};
use super::pool::MemberPool;
use crate::clock::boot_time;
use crate::interfaces::MemberDialer;
use crate::lead::{LeadRecord, LeaderEpoch, LeaderLease, LeaseTable, PositionHistory};
use crate::peers::RecordsDigest;
use crate::records_view::{RecordState, RecordTimes};
use crate::sync::lock;
use rudder_core::{FreshSample, InstanceName, LogStamp, MemberName, ServiceName};
use rudder_decisions::{ConnectionShare, HolderBudget, HolderCandidate};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;

/// Number of services up to which the first record of each is logged.
const LOGGED_SERVICES_MAX: usize = 64;

/// Minimum interval between requests to other instances to probe the primary of a group.
const PROBE_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// A service and its replicated database group.
pub(crate) struct ServiceGroup {
    service: ServiceName,
    state: Mutex<GroupState>,
    changed: Notify,
    /// Notified when a sample of the primary's position is requested, and when the primary may have
    /// changed.
    position_requested: Notify,
}

#[derive(Default)]
pub(super) struct GroupState {
    /// Sorted by name.
    pub(super) members: Vec<Arc<GroupMember>>,
    pub(super) leases: LeaseTable,
    /// Digest of the known record.
    record_digest: RecordsDigest,
    pub(super) history: PositionHistory,
    /// Time of the first failure in the current run of failed watches of the primary.
    watch_failing_since: Option<Duration>,
    /// Time at which other instances were last asked to probe the primary.
    probe_requested_at: Option<Duration>,
    /// Whether statements of client accounts are forwarded to holders of connections.
    forwards: bool,
    pub(super) departures: DepartureLog,
    /// Position that the primary's acknowledged commits have reached at least.
    pub(super) acknowledged: Option<LogStamp>,
}

/// Digests of a service's record before and after a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DigestChange {
    pub(crate) before: RecordsDigest,
    pub(crate) after: RecordsDigest,
}

impl GroupState {
    /// Returns the pools that have connections or waiting callers.
    fn active_pools(&self) -> Vec<Arc<MemberPool>> {
        let pools = self.members.iter().map(|member| member.pool());
        pools.filter(|pool| pool.is_active()).cloned().collect()
    }

    /// Returns the primary if it is missing from the membership but may still be used.
    ///
    /// A primary that only lost its connection to the store drops out of the membership although it
    /// still serves. Without this, strict statements would fail for seconds until it is replaced.
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
        Arc::new(Self {
            service,
            state: Mutex::default(),
            changed: Notify::new(),
            position_requested: Notify::new(),
        })
    }

    pub(crate) fn service(&self) -> &ServiceName {
        &self.service
    }

    pub(super) fn state(&self) -> MutexGuard<'_, GroupState> {
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

    /// Accesses the lease table under the group's lock.
    pub(crate) fn with_leases<T>(&self, use_leases: impl FnOnce(&mut LeaseTable) -> T) -> T {
        use_leases(&mut self.state().leases)
    }

    /// Returns what a summary of the records says of this service; none without a record.
    pub(crate) fn record_state(&self) -> Option<RecordState> {
        let state = self.state();
        state.leases.record()?;
        Some(RecordState {
            digest: state.record_digest,
            times: RecordTimes {
                confirmed_at: state.leases.confirmed_at(),
                valid_from: state.leases.valid_from(),
            },
            sample: state.history.newest(),
        })
    }

    /// Whether the members are those of `entries`, which are sorted by name, and nothing else.
    pub(crate) fn has_entries(&self, entries: &[&MemberEntry]) -> bool {
        let state = self.state();
        let same = |(member, entry): (&Arc<GroupMember>, &&MemberEntry)| {
            member.is_listed() && member.has_entry(entry)
        };
        state.members.len() == entries.len() && state.members.iter().zip(entries).all(same)
    }

    /// Replaces the membership.
    pub(crate) fn set_members(&self, entries: &[MemberEntry], dialer: &Arc<dyn MemberDialer>) {
        let mut state = self.state();
        let known = std::mem::take(&mut state.members);
        let mut members: Vec<_> =
            entries.iter().map(|entry| reuse_or_create(&known, entry, dialer)).collect();
        members.extend(state.unlisted_primary(&known, &members));
        members.sort_by(|left, right| left.name().cmp(right.name()));
        state.members = members.clone();
        let entries: Vec<_> = members.iter().map(|member| member.entry()).collect();
        let known_entries = known.iter().map(|member| member.entry());
        state.departures.record(known_entries, &entries, boot_time());
        drop(state);
        close_removed(&known, &members);
        self.changed.notify_waiters();
        self.position_requested.notify_waiters();
    }

    /// Removes a primary that is missing from the membership and has exceeded its grace time or has
    /// been replaced.
    pub(crate) fn remove_unlisted_primary(&self) {
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

    /// Records a version of the primary's record; returns the change of its digest if it is new.
    #[cfg(test)]
    pub(crate) fn observe_record(
        &self,
        record: &LeadRecord,
        confirmed_at: Duration,
    ) -> Option<DigestChange> {
        self.observe_record_of(record, confirmed_at, 1)
    }

    /// The same for the record of one of so many services. Among many, the first record is not
    /// logged: an instance that starts learns of all at once, and logs their number.
    pub(crate) fn observe_record_of(
        &self,
        record: &LeadRecord,
        confirmed_at: Duration,
        services: usize,
    ) -> Option<DigestChange> {
        let now = boot_time();
        let mut state = self.state();
        let is_first = state.leases.record().is_none();
        let new = state.leases.observe(record, confirmed_at, now);
        let change = new.then(|| {
            if record.primary().is_some() {
                state.history.clear();
                state.departures.clear();
                state.acknowledged = None;
            }
            state.watch_failing_since = None;
            let after = RecordsDigest::of_record(&self.service, record.epoch);
            let before = std::mem::replace(&mut state.record_digest, after);
            let is_summarized = is_first && services > LOGGED_SERVICES_MAX;
            let level = if is_summarized { log::Level::Debug } else { log::Level::Info };
            log::log!(
                level,
                service:% = self.service, epoch:% = record.epoch, phase:? = record.phase,
                age_ms = (now.saturating_sub(confirmed_at)).as_millis();
                "the record of the primary changed"
            );
            DigestChange { before, after }
        });
        drop(state);
        if change.is_some() {
            self.position_requested.notify_waiters();
        }
        // Notifies also without a new version, as the observation may renew an expired lease.
        self.changed.notify_waiters();
        change
    }

    /// Records that a majority of instances knew of no later version at `majority_at`; returns
    /// whether that is later than the previous confirmation.
    pub(crate) fn confirm_by_majority(&self, epoch: LeaderEpoch, majority_at: Duration) -> bool {
        let later = self.state().leases.confirm_by_majority(epoch, majority_at);
        self.changed.notify_waiters();
        later
    }

    /// Records when the known version was in place; `times` is called only if there is one. Returns
    /// whether a confirmation by a majority extends leases; none without a record.
    pub(crate) fn confirm_record(&self, times: impl FnOnce() -> RecordTimes) -> Option<bool> {
        let mut state = self.state();
        state.leases.record()?;
        let RecordTimes { confirmed_at, valid_from } = times();
        state.leases.confirm(confirmed_at);
        let epoch = state.leases.epoch();
        let extended = state.leases.confirm_by_majority(epoch, valid_from);
        drop(state);
        self.changed.notify_waiters();
        Some(extended)
    }

    /// Returns the primary with its current lease.
    pub(crate) fn leader(&self) -> Option<(Arc<GroupMember>, LeaderLease)> {
        let lease = self.state().leases.lease(boot_time())?;
        let member = self.member(&lease.primary)?;
        Some((member, lease))
    }

    /// Whether a reply under `lease` may still be returned.
    pub(crate) fn holds(&self, lease: &LeaderLease) -> bool {
        self.state().leases.holds(lease, boot_time())
    }

    /// Waits until the group changes, at most for `timeout`.
    pub(crate) async fn wait_changed(&self, timeout: Duration) {
        let changed = self.changed.notified();
        // The result is ignored: the caller checks the state again in either case.
        let _ = tokio::time::timeout(timeout, changed).await;
    }

    /// Requests a sample of the primary's position now, if this instance watches it.
    pub(crate) fn request_position(&self) {
        self.position_requested.notify_waiters();
    }

    /// Marks that other instances are asked to probe the primary. Returns false if they were a
    /// moment ago: each of the failing statements of a lost primary would ask them otherwise.
    pub(crate) fn begin_probe_request(&self) -> bool {
        let now = boot_time();
        let mut state = self.state();
        if state.probe_requested_at.is_some_and(|at| now < at + PROBE_REQUEST_INTERVAL) {
            return false;
        }
        state.probe_requested_at = Some(now);
        true
    }

    /// Waits until a position sample is requested or the primary may have changed, at most for
    /// `timeout`. Returns whether that happened.
    pub(crate) async fn wait_position_request(&self, timeout: Duration) -> bool {
        tokio::time::timeout(timeout, self.position_requested.notified()).await.is_ok()
    }

    /// Records the primary's position from its response to a request sent at `sent_at`. Ignored
    /// unless the lease is of the current version and covered that time.
    pub(crate) fn record_position(&self, lease: &LeaderLease, sent_at: Duration, stamp: LogStamp) {
        let mut state = self.state();
        let current = state.leases.epoch() == lease.epoch;
        if current && state.leases.holds(lease, sent_at) {
            state.history.record(FreshSample { sent_at, stamp });
            state.watch_failing_since = None;
        }
    }

    /// Records that the watch of the primary of this version has failed since `since`.
    pub(crate) fn record_watch_failure(&self, epoch: LeaderEpoch, since: Duration) {
        let mut state = self.state();
        if state.leases.epoch() == epoch {
            state.watch_failing_since.get_or_insert(since);
        }
    }

    /// Records a peer's position sample of the primary of this version.
    pub(crate) fn record_peer_sample(
        &self,
        epoch: LeaderEpoch,
        sent_at: Duration,
        stamp: LogStamp,
    ) {
        let lease = self.state().leases.lease(boot_time());
        if let Some(lease) = lease.filter(|lease| lease.epoch == epoch) {
            self.record_position(&lease, sent_at, stamp);
            self.changed.notify_waiters();
        }
    }

    /// Newest position sample of the primary.
    pub(crate) fn newest_sample(&self) -> Option<FreshSample> {
        self.state().history.newest()
    }

    /// Records that the primary responded to the watch.
    pub(crate) fn clear_watch_failure(&self) {
        self.state().watch_failing_since = None;
    }

    /// Time since which the watch of the primary has failed; `None` if it succeeds.
    pub(crate) fn watch_failing_since(&self) -> Option<Duration> {
        self.state().watch_failing_since
    }

    /// Position that a member must have applied for a read with this staleness bound; `None` if
    /// unknown.
    pub(crate) fn bounded_floor(&self, bound: Duration) -> Option<LogStamp> {
        self.state().history.floor(bound, boot_time())
    }

    /// Time since the primary reached a position, as far as is known.
    pub(crate) fn age_of(&self, floor: LogStamp) -> Duration {
        self.state().history.age_of(floor, boot_time())
    }

    /// Records a member's applied log position.
    pub(crate) fn record_applied(&self, member: &GroupMember, stamp: LogStamp) {
        let lag = self.state().history.lag_of(stamp, boot_time());
        member.record_applied(stamp, lag);
    }

    /// Newest known position of the primary.
    pub(crate) fn newest_position(&self) -> Option<LogStamp> {
        self.newest_sample().map(|sample| sample.stamp)
    }

    /// Lowers a session floor to the promotion's base position if the change of primary cut the log
    /// off below it, as no member would ever reach it.
    pub(crate) fn clamp_floor(&self, floor: LogStamp) -> LogStamp {
        let state = self.state();
        state.leases.record().map_or(floor, |record| record.clamp_floor(floor))
    }

    fn record_forwarding(&self, forwards: bool, instances: usize) {
        let before = std::mem::replace(&mut self.state().forwards, forwards);
        if before != forwards {
            let reason = if forwards { "connections_scarce" } else { "connections_ample" };
            metrics::gauge!("rudder_forwarding_needed", "service" => self.service.to_string())
                .set(if forwards { 1.0 } else { 0.0 });
            log::info!(
                service:% = self.service, forwards = forwards, instances = instances,
                reason = reason;
                "whether connections are left to their holders changed"
            );
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired_connections(&self) {
        let active = self.state().active_pools();
        active.iter().for_each(MemberPool::close_expired);
    }

    /// Whether the state of the primary calls for a decision: there is no record, a change is in
    /// progress, or something speaks against the primary.
    pub(crate) fn needs_decision(&self) -> bool {
        let state = self.state();
        let Some(primary) = state.leases.record().and_then(LeadRecord::primary) else {
            return true;
        };
        let found = state.members.binary_search_by(|member| member.name().cmp(primary));
        let Ok(index) = found else { return true };
        let member = &state.members[index];
        state.watch_failing_since.is_some()
            || !member.is_listed()
            || !member.serves_reads()
            || !member.reports_primary()
    }

    /// Applies this instance's part of the connections of each member: its budget as one of the
    /// `holders` if statements are forwarded, otherwise its share among `all` instances.
    pub(crate) fn assign_connection_shares(
        &self,
        connections_max: u32,
        own: &InstanceName,
        all: &[InstanceName],
        holders: Option<&[HolderCandidate]>,
    ) {
        self.record_forwarding(holders.is_some(), all.len());
        let scarce = ConnectionShare::is_scarce(connections_max, all.len());
        for member in self.members() {
            let (pool, name) = (member.pool(), member.name());
            match holders {
                Some(holders) => {
                    let place = member.place();
                    let budget = HolderBudget::of(connections_max, name, own, holders, &place);
                    // Headroom of all instances together exceeds the member's limit many times; the
                    // holders need it for callers that are idle inside transactions.
                    pool.set_budget(budget, scarce && budget.kept > 0);
                }
                None => {
                    let share = ConnectionShare::of(connections_max, name, own, all);
                    pool.set_share(share, scarce);
                }
            }
        }
    }
}

/// Closes the connections to removed members.
fn close_removed(known: &[Arc<GroupMember>], kept: &[Arc<GroupMember>]) {
    for member in known {
        if !kept.iter().any(|kept| Arc::ptr_eq(kept, member)) {
            member.pool().set_share(ConnectionShare::default(), false);
        }
    }
}
