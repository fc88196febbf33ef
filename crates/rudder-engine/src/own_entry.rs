//! Registration of this instance in the instance list, and whether it permits leases.
//!
//! A change of primary waits for the instances in the list. A lease is therefore valid only if the
//! instance's entry was in the list before the record that grants it was read, and still is.

use crate::peers::LISTING_VALIDITY;
use std::time::Duration;

/// State of this instance's entry in the instance list, as known to this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnEntry {
    /// Latest time at which the list showed the entry without a mark; `None` while it does not.
    listed_at: Option<Duration>,
    /// Time by which the entry was in the list; it has not been missing since.
    registered_by: Duration,
    /// Whether this process leaves the list for good.
    has_left: bool,
}

impl OwnEntry {
    /// Records that the list showed the entry at `listed_at`, which is known at `now`. Returns
    /// whether the entry was not known to be in the list before.
    pub(crate) fn observe_listed(&mut self, listed_at: Duration, now: Duration) -> bool {
        if self.has_left {
            return false;
        }
        let registered = self.listed_at.is_none();
        if registered {
            self.registered_by = now;
        }
        self.listed_at = self.listed_at.max(Some(listed_at));
        registered
    }

    /// Records that the list lacks the entry.
    pub(crate) fn clear(&mut self) {
        self.listed_at = None;
    }

    /// Records that this process is about to remove its entry and to end.
    ///
    /// A read of the list that was sent before and completes afterwards still shows the entry. It
    /// must not permit leases again, as changes of primary no longer wait for this instance.
    pub(crate) fn leave(&mut self) {
        self.clear();
        self.has_left = true;
    }

    /// Records that the list still showed the entry at `listed_at`.
    pub(crate) fn renew(&mut self, listed_at: Duration) {
        self.listed_at = self.listed_at.map(|known| known.max(listed_at));
    }

    /// Records that the list that the store had at `read_at` lacks the entry. Returns whether the
    /// entry was in the list before.
    ///
    /// An instance must not hold leases by an entry that another instance has removed: changes of
    /// primary no longer wait for it.
    pub(crate) fn observe_missing(&mut self, read_at: Duration) -> bool {
        let removed = self.listed_at.is_some() && read_at > self.registered_by;
        if removed {
            self.clear();
        }
        removed
    }

    /// Returns whether the list was last known to show the entry longer than `time` ago, or not at
    /// all.
    pub(crate) fn is_unconfirmed_for(&self, time: Duration, now: Duration) -> bool {
        !self.has_left && self.listed_at.is_none_or(|at| now >= at + time)
    }

    /// Returns whether the list has shown the entry, and `moment` is not before it did.
    pub(crate) fn was_registered_by(&self, moment: Duration) -> bool {
        self.listed_at.is_some() && moment >= self.registered_by
    }

    /// Returns whether a confirmation of a record at `confirmed_at` may grant a lease.
    ///
    /// While an instance registers, the record may be read first, then a change of primary may
    /// begin and read the list, and only then the entry may be written. That change does not wait
    /// for this instance, so confirmations from before the registration do not count.
    pub(crate) fn may_lead_by(&self, confirmed_at: Duration, now: Duration) -> bool {
        let stands = self.listed_at.is_some_and(|at| now < at + LISTING_VALIDITY);
        stands && confirmed_at >= self.registered_by
    }
}

#[cfg(test)]
mod tests;
