//! Removal of instances from the list that the store keeps.
//!
//! Load pattern: machines fail and are replaced, dozens a day in a large fleet, and most of them do
//! not deregister. If their entries stayed, each change of primary would wait for stop notices that
//! never arrive, connections would be reserved for instances that no longer run, and once most of
//! the listed instances had failed, no majority could be reached.
//!
//! A removed instance holds no lease, because it loses the lease first: it holds leases only while
//! the list is known to have shown its entry without a mark less than [`LISTING_VALIDITY`] ago, and
//! a marked entry is removed only after the mark has been in place for longer, [`MARK_TIMEOUT`]. A
//! running instance sees the mark with its next read and clears it.

use rudder_core::InstanceName;
use std::time::Duration;

/// Time without heartbeats after which a reader marks the entry of an instance in its failure
/// domain. A bad link does not lose heartbeats for a minute, and a restart takes only a second or
/// two.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a mark is in place before the entry is removed.
const MARK_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which a read of its entry permits an instance to lead. Longer than the pause between
/// two reads of the list (30 s) and several failed reads; shorter than [`MARK_TIMEOUT`] by far more
/// than the clocks of two machines drift apart in that time.
pub(crate) const LISTING_VALIDITY: Duration = Duration::from_secs(45);

/// Decision on an entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryDecision {
    /// The entry stays unchanged.
    Keep,
    /// The entry is marked.
    Mark,
    /// The entry is removed, on condition that it was not written since the mark was observed.
    Remove,
}

/// Time since when this reader has observed an entry's mark, or its instance without heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EntryWatch {
    instance: InstanceName,
    /// Version of the entry.
    version: String,
    marked: bool,
    since: Duration,
}

/// Entries of one reader's failure domain as observed so far, sorted by instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryLedger {
    watches: Vec<EntryWatch>,
}

impl EntryLedger {
    /// Decides on one entry as it was read at `now`. `heard_at` is when the last heartbeat of its
    /// instance was received.
    pub(crate) fn decide(
        &mut self,
        instance: &InstanceName,
        version: &str,
        marked: bool,
        heard_at: Option<Duration>,
        now: Duration,
    ) -> EntryDecision {
        let index = self.watches.binary_search_by(|watch| watch.instance.cmp(instance));
        let new_watch = EntryWatch {
            instance: instance.clone(),
            version: version.to_owned(),
            marked,
            since: now,
        };
        let index = match index {
            // A new version means that the instance rewrote its entry, or that the mark changed.
            Ok(index) if self.watches[index].version != version => {
                self.watches[index] = new_watch;
                index
            }
            Ok(index) => index,
            Err(index) => {
                self.watches.insert(index, new_watch);
                index
            }
        };
        let since = self.watches[index].since;
        if marked {
            let expired = now >= since + MARK_TIMEOUT;
            return if expired { EntryDecision::Remove } else { EntryDecision::Keep };
        }
        let silent_since = heard_at.map_or(since, |heard_at| heard_at.max(since));
        let expired = now >= silent_since + SILENCE_TIMEOUT;
        if expired { EntryDecision::Mark } else { EntryDecision::Keep }
    }

    /// Removes the entries that are no longer in the list.
    pub(crate) fn retain(&mut self, listed: &[InstanceName]) {
        self.watches.retain(|watch| listed.contains(&watch.instance));
    }
}
