//! Replication log of a member, and the tables that result from applying it.

use crate::group::tables::database::{GroupDatabase, RowEffect};
use rudder_core::{LogStamp, LogTerm};
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::time::Instant;

/// Number of applied entries between two snapshots of the tables. A truncation restores the last
/// snapshot and replays the entries after it, so this bounds the number of replayed entries.
const CHECKPOINT_INTERVAL: usize = 1024;

/// One committed transaction, or the empty entry that a promotion appends.
#[derive(Debug)]
pub(crate) struct LogEntry {
    pub(crate) stamp: LogStamp,
    pub(crate) effects: Vec<RowEffect>,
    /// Time at which the primary appended the entry.
    pub(crate) appended: Instant,
}

/// Log entries of a member, and the tables as of the last applied entry.
///
/// Positions start at 1, so the entry at position p has index p - 1.
#[derive(Debug, Default)]
pub(crate) struct MemberLog {
    entries: Vec<Arc<LogEntry>>,
    applied: usize,
    database: GroupDatabase,
    checkpoints: Vec<(usize, GroupDatabase)>,
    /// Receipt times of the entries that are not applied yet.
    receipt_times: VecDeque<Instant>,
}

impl MemberLog {
    /// Returns the stamp of the last entry.
    pub(crate) fn received(&self) -> LogStamp {
        self.stamp_at(self.entries.len())
    }

    /// Returns the stamp of the last applied entry.
    pub(crate) fn applied(&self) -> LogStamp {
        self.stamp_at(self.applied)
    }

    /// Returns the number of entries in the log.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the tables as of the last applied entry.
    pub(crate) fn database(&self) -> &GroupDatabase {
        &self.database
    }

    /// Returns up to `count` entries after the first `from`.
    pub(crate) fn entries_after(&self, from: usize, count: usize) -> &[Arc<LogEntry>] {
        let end = self.entries.len().min(from.saturating_add(count));
        self.entries.get(from..end).unwrap_or_default()
    }

    /// Returns the stamp of the last of the first `count` entries.
    pub(crate) fn stamp_at(&self, count: usize) -> LogStamp {
        match count.checked_sub(1).and_then(|index| self.entries.get(index)) {
            Some(entry) => entry.stamp,
            None => LogStamp::default(),
        }
    }

    /// Returns the length of the common prefix of this log and `other`.
    ///
    /// A term has only one primary, which assigns each position once. Logs that agree on the stamp
    /// of one entry therefore agree on all entries before it, so the search starts at the end.
    pub(crate) fn common_prefix(&self, other: &MemberLog) -> usize {
        let shorter = self.entries.len().min(other.entries.len());
        let agree = |count: &usize| self.stamp_at(*count) == other.stamp_at(*count);
        (0..=shorter).rev().find(agree).unwrap_or(0)
    }

    /// Appends and applies an entry on the primary. `database` holds the tables after the entry, if
    /// the caller has computed them.
    pub(crate) fn append_as_primary(
        &mut self,
        term: LogTerm,
        effects: Vec<RowEffect>,
        database: Option<GroupDatabase>,
    ) -> LogStamp {
        let stamp = LogStamp::new(term.0, self.entries.len() as u64 + 1);
        let entry = LogEntry { stamp, effects, appended: Instant::now() };
        match database {
            Some(database) => self.database = database,
            None => apply_entry(&mut self.database, &entry),
        }
        self.entries.push(Arc::new(entry));
        self.applied = self.entries.len();
        self.save_checkpoint();
        stamp
    }

    /// Appends an entry fetched from another member, to be applied later.
    pub(crate) fn receive(&mut self, entry: Arc<LogEntry>, now: Instant) {
        self.entries.push(entry);
        self.receipt_times.push_back(now);
    }

    /// Returns the receipt time of the next entry to apply.
    pub(crate) fn next_unapplied(&self) -> Option<Instant> {
        self.receipt_times.front().copied()
    }

    /// Applies the next entry that is not applied yet, if any.
    pub(crate) fn apply_next(&mut self) {
        if self.receipt_times.pop_front().is_none() {
            return;
        }
        apply_entry(&mut self.database, &self.entries[self.applied]);
        self.applied += 1;
        self.save_checkpoint();
    }

    /// Applies all received entries, as a promotion does before the member accepts writes.
    pub(crate) fn apply_all(&mut self) {
        while !self.receipt_times.is_empty() {
            self.apply_next();
        }
    }

    /// Removes all entries after the first `count` and reverts their effects.
    pub(crate) fn truncate(&mut self, count: usize) {
        self.entries.truncate(count);
        if self.applied <= count {
            self.receipt_times.truncate(count - self.applied);
            return;
        }
        self.receipt_times.clear();
        self.checkpoints.retain(|(applied, _)| *applied <= count);
        let (start, mut database) = self.checkpoints.last().cloned().unwrap_or_default();
        for entry in &self.entries[start..] {
            apply_entry(&mut database, entry);
        }
        self.database = database;
        self.applied = count;
    }

    fn save_checkpoint(&mut self) {
        if self.applied.is_multiple_of(CHECKPOINT_INTERVAL) {
            self.checkpoints.push((self.applied, self.database.clone()));
        }
    }
}

fn apply_entry(database: &mut GroupDatabase, entry: &LogEntry) {
    for effect in &entry.effects {
        if let Err(error) = database.apply(effect) {
            log::error!(stamp:% = entry.stamp, error:% = error; "failed to apply a log entry");
        }
    }
}
