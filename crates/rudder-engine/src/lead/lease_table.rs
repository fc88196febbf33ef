//! One instance's knowledge of a service's primary, and its permission to answer for it.
//!
//! An instance acknowledges commits and answers strict reads only under a lease: the knowledge
//! that the record named this primary less than [`LEASE_TIME`] ago. A change of primary starts
//! with a new version of the record and promotes only once every instance has said that it
//! stopped, or [`LEASE_TIME`] and a margin have gone by since. So no instance, however isolated
//! or suspended, answers for the old primary when the new one takes its first commit.
//!
//! While the store does not answer, the word of most instances renews a lease as well, for
//! [`QUORUM_REACH`] at most: a change that cannot hear from all waits until most have stopped, and
//! two majorities have an instance in common.

use super::record::{LeadRecord, LeaderEpoch};
use rudder_core::{MemberName, plain_data};
use std::time::Duration;

/// How long the knowledge of an unchanged record lets an instance answer. Longer than two reads of the
/// record that fail (0.4 s apart, given up after 0.5 s); shorter makes an unplanned change faster.
pub(crate) const LEASE_TIME: Duration = Duration::from_millis(1500);

/// How long after the store's last word the word of most instances renews leases. Outages of the
/// store last some seconds; when a change hears from fewer than half, it has to wait that long.
pub(crate) const QUORUM_REACH: Duration = Duration::from_millis(8000);

plain_data! {
    /// Permission to answer for a primary, for as long as [`LeaseTable::holds`] says so.
    pub(crate) struct LeaderLease {
        /// The record's version.
        pub(crate) epoch: LeaderEpoch,
        /// The primary.
        pub(crate) primary: MemberName,
    }
}

/// What an instance knows of one service's record.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaseTable {
    record: Option<LeadRecord>,
    /// The latest moment at which the record is known to have been in place.
    confirmed_at: Duration,
    /// The latest moment at which most instances knew of no later version.
    majority_at: Duration,
    /// When this version was first seen.
    seen_at: Duration,
    /// When the change under way was first seen, over all who tried it.
    changing_since: Option<Duration>,
    /// The version before this one, for work that was under way when the change began.
    closing: Option<ClosingLease>,
    /// Statements under way that a lease covers.
    in_flight: u32,
}

#[derive(Clone, Debug)]
struct ClosingLease {
    epoch: LeaderEpoch,
    until: Duration,
}

impl LeaseTable {
    /// Takes in a version of the record that was in place at `confirmed_at` or later.
    ///
    /// Returns whether it is a new one. An older one is dropped: reads of the store and words of
    /// peers may arrive in any order.
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
        self.closing = self
            .lease(now)
            .map(|lease| ClosingLease { epoch: lease.epoch, until: self.anchor() + LEASE_TIME });
        // Two changes in a row are one only if no primary was in place between them.
        let follows = record.epoch == known.next();
        let since = self.changing_since.filter(|_| follows);
        self.changing_since = record.primary().is_none().then(|| since.unwrap_or(now));
        self.record = Some(record.clone());
        self.confirmed_at = confirmed_at;
        self.majority_at = Duration::ZERO;
        self.seen_at = now;
        true
    }

    /// Takes in that most instances knew of no later version than `epoch` at `majority_at`; returns
    /// whether leases live longer by it.
    pub(crate) fn confirm_by_majority(
        &mut self,
        epoch: LeaderEpoch,
        majority_at: Duration,
    ) -> bool {
        if epoch != self.epoch() {
            return false;
        }
        let before = self.anchor();
        self.majority_at = self.majority_at.max(majority_at);
        self.anchor() > before
    }

    /// The moment from which a lease's life counts.
    pub(crate) fn anchor(&self) -> Duration {
        let majority_at = self.majority_at.min(self.confirmed_at + QUORUM_REACH);
        self.confirmed_at.max(majority_at)
    }

    /// When the change under way was first seen.
    pub(crate) fn changing_since(&self) -> Option<Duration> {
        self.changing_since
    }

    /// The version that is known; zero before the first.
    pub(crate) fn epoch(&self) -> LeaderEpoch {
        self.record.as_ref().map_or(LeaderEpoch::default(), |record| record.epoch)
    }

    /// The record.
    pub(crate) fn record(&self) -> Option<&LeadRecord> {
        self.record.as_ref()
    }

    /// When the version that is known was first seen.
    pub(crate) fn seen_at(&self) -> Duration {
        self.seen_at
    }

    /// The latest moment at which the record is known to have been in place.
    pub(crate) fn confirmed_at(&self) -> Duration {
        self.confirmed_at
    }

    /// Permission for new work.
    pub(crate) fn lease(&self, now: Duration) -> Option<LeaderLease> {
        let record = self.record.as_ref()?;
        let primary = record.primary()?;
        let fresh = now < self.anchor() + LEASE_TIME;
        fresh.then(|| LeaderLease { epoch: record.epoch, primary: primary.clone() })
    }

    /// Whether an answer that was obtained under a lease may still go out.
    ///
    /// Work that was under way when a change began may finish: the change waits for this
    /// instance to stop, or for the lease's life to end.
    pub(crate) fn holds(&self, lease: &LeaderLease, now: Duration) -> bool {
        if self.epoch() == lease.epoch {
            return self.lease(now).is_some();
        }
        let closing = self.closing.as_ref();
        closing.is_some_and(|closing| closing.epoch == lease.epoch && now < closing.until)
    }

    /// Counts a statement in that a lease covers.
    pub(crate) fn enter(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a statement out.
    pub(crate) fn leave(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Stops answering for all versions before the present one, if nothing is under way or
    /// `force` is set. Returns whether it has stopped.
    pub(crate) fn stop(&mut self, force: bool) -> bool {
        if self.closing.is_some() && (force || self.in_flight == 0) {
            self.closing = None;
        }
        self.closing.is_none()
    }
}
