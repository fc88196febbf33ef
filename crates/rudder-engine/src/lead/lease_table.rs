//! Knowledge of a service's primary in one instance, and the lease that permits the instance to
//! respond for that primary.
//!
//! An instance acknowledges commits and serves strict reads only under a lease: the knowledge that
//! the record named this primary less than [`LEASE_TIME`] ago. A change of primary starts with a
//! new version of the record and promotes only after every instance has confirmed that it stopped,
//! or after [`LEASE_TIME`] and a margin have passed. Therefore no instance, even an isolated or
//! suspended one, responds for the old primary when the new one accepts its first commit.
//!
//! While the store does not respond, confirmations by a majority of instances also renew a lease,
//! for at most [`QUORUM_REACH`] after the store's last response. A change that does not receive a
//! stop notice from every instance waits until a majority has stopped, and any two majorities share
//! an instance.

use super::record::{LeadRecord, LeaderEpoch, MemberOrder};
use rudder_core::{MemberName, plain_data};
use std::time::Duration;

/// Duration of a lease, counted from when the record was known to be in place. Longer than two
/// failed reads of the record (0.4 s apart, with a timeout of 0.5 s); a shorter duration makes an
/// unplanned change of primary faster.
pub(crate) const LEASE_TIME: Duration = Duration::from_millis(1500);

/// Maximum time after the store's last response during which a majority of instances renews leases.
/// Store outages last several seconds; a change that receives responses from fewer than half of the
/// instances has to wait this long.
pub(crate) const QUORUM_REACH: Duration = Duration::from_millis(8000);

/// Maximum time from sending a promotion order until it takes effect. The connection may hold the
/// order up for 2 s, and the promotion itself takes up to a second, with a margin for slower ones.
pub(crate) const ORDER_EFFECT_TIME: Duration = Duration::from_millis(5000);

plain_data! {
    /// Lease for responding on behalf of a primary, valid while [`LeaseTable::holds`] returns true.
    pub(crate) struct LeaderLease {
        /// Version of the record.
        pub(crate) epoch: LeaderEpoch,
        /// The primary.
        pub(crate) primary: MemberName,
    }
}

/// Record of one service as known to one instance, and the state of its leases.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    record: Option<LeadRecord>,
    /// Latest time at which the record is known to have been in place.
    confirmed_at: Duration,
    /// Latest time at which a majority of instances knew no later version.
    majority_at: Duration,
    /// Time at which this version was first received.
    seen_at: Duration,
    /// Time at which the change in progress was first observed, across all instances that attempted
    /// it.
    changing_since: Option<Duration>,
    /// Versions received since the first that named a pending order, with the times at which they
    /// first were.
    versions: Vec<(LeaderEpoch, Duration)>,
    /// Lease under the previous version, for statements that were running when the change began.
    closing: Option<ClosingLease>,
    /// Running statements that are covered by a lease.
    in_flight: u32,
}

#[derive(Clone, Debug)]
struct ClosingLease {
    epoch: LeaderEpoch,
    until: Duration,
}

impl LeaseTable {
    /// Applies a version of the record that was in place at `confirmed_at` or later.
    ///
    /// Returns whether it is new. An older version is ignored, as store reads and peer responses
    /// may arrive in any order.
    pub(crate) fn observe(
        &mut self,
        record: &LeadRecord,
        confirmed_at: Duration,
        now: Duration,
    ) -> bool {
        let known = self.epoch();
        if record.epoch < known {
            return false;
        }
        if record.epoch == known {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
            return false;
        }
        self.closing = self.lease(now).map(|lease| ClosingLease {
            epoch: lease.epoch,
            until: self.valid_from() + LEASE_TIME,
        });
        // Consecutive changes count as one only if no primary was in place between them.
        let follows = record.epoch == known.next();
        let since = self.changing_since.filter(|_| follows);
        self.changing_since = record.primary().is_none().then(|| since.unwrap_or(now));
        if record.orders.is_empty() {
            self.versions.clear();
        }
        self.versions.push((record.epoch, now));
        self.record = Some(record.clone());
        self.confirmed_at = confirmed_at;
        self.majority_at = Duration::ZERO;
        self.seen_at = now;
        true
    }

    /// Records that the known version was in place at `confirmed_at`.
    pub(crate) fn confirm(&mut self, confirmed_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Records that a majority of instances knew no later version than `epoch` at `majority_at`.
    /// Returns whether this extends leases.
    pub(crate) fn confirm_by_majority(
        &mut self,
        epoch: LeaderEpoch,
        majority_at: Duration,
    ) -> bool {
        if epoch != self.epoch() {
            return false;
        }
        let before = self.valid_from();
        self.majority_at = self.majority_at.max(majority_at);
        self.valid_from() > before
    }

    /// Returns the time from which the lease duration counts.
    pub(crate) fn valid_from(&self) -> Duration {
        let majority_at = self.majority_at.min(self.confirmed_at + QUORUM_REACH);
        self.confirmed_at.max(majority_at)
    }

    /// Returns the time at which the change in progress was first observed.
    pub(crate) fn changing_since(&self) -> Option<Duration> {
        self.changing_since
    }

    /// Returns the orders in the record that may still take effect, sorted by member.
    ///
    /// An order is sent only while the version that names it is in place, so it was sent before a
    /// later version was received.
    pub(crate) fn pending_orders(&self, now: Duration) -> Vec<MemberOrder> {
        let orders = self.record.as_ref().map_or(&[][..], |record| &record.orders);
        let is_pending = |order: &&MemberOrder| {
            let later = self.versions.iter().find(|(epoch, _)| *epoch > order.epoch);
            later.is_none_or(|(_, received_at)| now < *received_at + ORDER_EFFECT_TIME)
        };
        orders.iter().filter(is_pending).cloned().collect()
    }

    /// Returns whether the change in progress may name `member` as the primary: no order for
    /// another member may still take effect.
    ///
    /// A later promotion would supersede the named primary, whose commits are then lost although
    /// instances acknowledge them.
    pub(crate) fn may_settle_on(&self, member: &MemberName, now: Duration) -> bool {
        self.pending_orders(now).iter().all(|order| order.member == *member)
    }

    /// Returns the known version; zero before the first one.
    pub(crate) fn epoch(&self) -> LeaderEpoch {
        self.record.as_ref().map_or(LeaderEpoch::default(), |record| record.epoch)
    }

    /// Returns the known record.
    pub(crate) fn record(&self) -> Option<&LeadRecord> {
        self.record.as_ref()
    }

    /// Returns the time at which the known version was first received.
    pub(crate) fn seen_at(&self) -> Duration {
        self.seen_at
    }

    /// Returns the latest time at which the record is known to have been in place.
    pub(crate) fn confirmed_at(&self) -> Duration {
        self.confirmed_at
    }

    /// Returns a lease for new statements, if one is valid.
    pub(crate) fn lease(&self, now: Duration) -> Option<LeaderLease> {
        let record = self.record.as_ref()?;
        let primary = record.primary()?;
        let fresh = now < self.valid_from() + LEASE_TIME;
        fresh.then(|| LeaderLease { epoch: record.epoch, primary: primary.clone() })
    }

    /// Returns whether a response obtained under `lease` may still be sent.
    ///
    /// Statements that were running when a change began may finish: the change waits for this
    /// instance to stop, or for its lease to expire.
    pub(crate) fn holds(&self, lease: &LeaderLease, now: Duration) -> bool {
        if self.epoch() == lease.epoch {
            return self.lease(now).is_some();
        }
        let closing = self.closing.as_ref();
        closing.is_some_and(|closing| closing.epoch == lease.epoch && now < closing.until)
    }

    /// Counts the start of a statement that a lease covers.
    pub(crate) fn begin_statement(&mut self) {
        self.in_flight += 1;
    }

    /// Counts the end of a statement that a lease covers.
    pub(crate) fn end_statement(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Stops responding under all versions before the current one, if no statement is running or
    /// `force` is set. Returns whether it has stopped.
    pub(crate) fn stop(&mut self, force: bool) -> bool {
        if self.closing.is_some() && (force || self.in_flight == 0) {
            self.closing = None;
        }
        self.closing.is_none()
    }
}
