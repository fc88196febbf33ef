//! This instance's own entry in the list of instances, and whether it may lead by it.
//!
//! A change of primary waits for the instances that the list shows. So leases are only good for an
//! instance whose entry stood before the record was read that gives them, and still stands.

use crate::peers::LISTED_LIFE;
use std::time::Duration;

/// What is known of the own entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OwnEntry {
    /// The latest moment at which the list showed the entry without a mark; none while it does not.
    listed_at: Option<Duration>,
    /// By when the entry stood; it has not been missing since.
    registered_by: Duration,
    /// Whether this process is leaving the list, for good.
    has_left: bool,
}

impl OwnEntry {
    /// Takes in that the list showed the entry at `listed_at`, which is known at `now`; returns
    /// whether it was not known to stand before.
    pub(crate) fn show(&mut self, listed_at: Duration, now: Duration) -> bool {
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

    /// Takes in that the list lacks the entry.
    pub(crate) fn hide(&mut self) {
        self.listed_at = None;
    }

    /// Takes in that this process is about to remove the entry, and ends then.
    ///
    /// Guards against a read of the list that was sent before and is answered after: it shows the
    /// entry, and by it this instance would lead while changes wait for it no more.
    pub(crate) fn leave(&mut self) {
        self.hide();
        self.has_left = true;
    }

    /// Takes in that the list still showed the entry at `listed_at`.
    pub(crate) fn renew(&mut self, listed_at: Duration) {
        self.listed_at = self.listed_at.map(|known| known.max(listed_at));
    }

    /// Takes in that a list which the store had at `read_at` lacks the entry; returns whether it stood
    /// before.
    ///
    /// Guards against an instance that leads on an entry which is gone, as nobody shows it the list.
    pub(crate) fn miss(&mut self, read_at: Duration) -> bool {
        let removed = self.listed_at.is_some() && read_at > self.registered_by;
        if removed {
            self.hide();
        }
        removed
    }

    /// Whether the list was last known to show the entry longer than `time` ago, or not at all.
    pub(crate) fn is_unconfirmed_for(&self, time: Duration, now: Duration) -> bool {
        !self.has_left && self.listed_at.is_none_or(|at| now >= at + time)
    }

    /// Whether what was said of a record at `confirmed_at` may give leases.
    ///
    /// Guards against a lease of an instance that is just entering the list: the record was read,
    /// then a change of primary began and read the list, and only then the entry was there. The
    /// change does not wait for this instance, so what was read before the entry stood counts for
    /// nothing.
    pub(crate) fn may_lead_by(&self, confirmed_at: Duration, now: Duration) -> bool {
        let stands = self.listed_at.is_some_and(|at| now < at + LISTED_LIFE);
        stands && confirmed_at >= self.registered_by
    }
}

#[cfg(test)]
mod tests;
