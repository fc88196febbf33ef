//! When an instance is taken out of the list that the store keeps.
//!
//! Load pattern: machines fail and are replaced, dozens a day in a large fleet, and most of them
//! say nothing before. If they stay in the list, each change of primary waits for words that never
//! come, connections are set aside for nobody, and once most of the list is gone no majority is
//! reached any more.
//!
//! An instance that is taken out holds no lease, because it loses it first: it leads only while a
//! read of its own has shown its entry without a mark less than [`LISTED_LIFE`] ago, and a marked
//! entry is removed only once the mark has stood for longer, [`MARK_TIMEOUT`]. One that lives sees the
//! mark with its next read, and takes it away.

use rudder_core::InstanceName;
use std::time::Duration;

/// How long an instance of the own failure domain must not have been heard before it is marked: a
/// minute of lost heartbeats is no bad link, and a restart takes a second or two.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a mark stands before the entry is removed.
const MARK_TIMEOUT: Duration = Duration::from_secs(60);

/// How long an entry that was read lets its instance lead. Longer than the pause between two reads
/// of the list (30 s) and some that fail; shorter than [`MARK_TIMEOUT`] by far more than two machines'
/// clocks drift apart in that time.
pub(crate) const LISTED_LIFE: Duration = Duration::from_secs(45);

/// What is to be done with an entry of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryVerdict {
    /// It stays as it is.
    Keep,
    /// It is marked.
    Mark,
    /// It is removed, on condition that nobody has written it since the mark was seen.
    Remove,
}

/// Since when an entry has shown a mark here, or its instance nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EntryWatch {
    instance: InstanceName,
    /// The version of the entry.
    version: String,
    marked: bool,
    since: Duration,
}

/// What one reader remembers of the entries of its failure domain, sorted by instance.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryLedger {
    watches: Vec<EntryWatch>,
}

impl EntryLedger {
    /// Judges one entry as it was read at `now`; `heard_at` is when its instance was last heard.
    pub(crate) fn judge(
        &mut self,
        instance: &InstanceName,
        version: &str,
        marked: bool,
        heard_at: Option<Duration>,
        now: Duration,
    ) -> EntryVerdict {
        let index = self.watches.binary_search_by(|watch| watch.instance.cmp(instance));
        let new_watch = EntryWatch {
            instance: instance.clone(),
            version: version.to_owned(),
            marked,
            since: now,
        };
        let index = match index {
            // Another version is another word of its instance, or another mark.
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
            return if expired { EntryVerdict::Remove } else { EntryVerdict::Keep };
        }
        let silent_since = heard_at.map_or(since, |heard_at| heard_at.max(since));
        let expired = now >= silent_since + SILENCE_TIMEOUT;
        if expired { EntryVerdict::Mark } else { EntryVerdict::Keep }
    }

    /// Forgets the entries that are not in the list any more.
    pub(crate) fn retain(&mut self, listed: &[InstanceName]) {
        self.watches.retain(|watch| listed.contains(&watch.instance));
    }
}
