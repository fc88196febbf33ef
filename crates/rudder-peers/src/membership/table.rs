//! Table of the other instances.

use super::probe::ProbeStyle;
use crate::member::{PeerEntry, PeerState};
use rudder_core::InstanceName;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of removed instances that are remembered.
const TOMBSTONES_MAX: usize = 2048;

/// Scheduled check of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CheckPlan {
    /// Time from which a failed probe removes the instance.
    pub(crate) at: Duration,
    /// Style of the probe then used.
    pub(crate) style: ProbeStyle,
}

/// Record of another instance.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    pub(crate) entry: PeerEntry,
    pub(crate) check: Option<CheckPlan>,
    /// Time of removal; meaningful only in that state.
    pub(crate) removed_at: Duration,
}

/// Other instances, sorted by name, with a digest of those that are present.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    records: Vec<PeerRecord>,
    digest: u32,
}

impl PeerTable {
    pub(crate) fn records(&self) -> &[PeerRecord] {
        &self.records
    }

    pub(crate) fn get(&self, name: &InstanceName) -> Option<&PeerRecord> {
        let index = self.index(name).ok()?;
        Some(&self.records[index])
    }

    /// Returns the digest of the other instances that are present.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the instances that are not removed.
    pub(crate) fn present(&self) -> impl Iterator<Item = &PeerEntry> {
        self.records.iter().map(|record| &record.entry).filter(|entry| is_present(entry))
    }

    /// Returns the removed instances that are remembered.
    pub(crate) fn removed(&self) -> impl Iterator<Item = &PeerEntry> {
        self.records.iter().map(|record| &record.entry).filter(|entry| !is_present(entry))
    }

    /// Inserts or replaces the record of an instance.
    pub(crate) fn put(&mut self, record: PeerRecord) {
        self.digest = self.digest.wrapping_add(entry_digest(&record.entry));
        match self.index(&record.entry.name) {
            Ok(index) => {
                self.digest = self.digest.wrapping_sub(entry_digest(&self.records[index].entry));
                self.records[index] = record;
            }
            Err(index) => self.records.insert(index, record),
        }
    }

    /// Sets or clears the scheduled check of an instance.
    pub(crate) fn plan_check(&mut self, name: &InstanceName, check: Option<CheckPlan>) {
        if let Ok(index) = self.index(name) {
            self.records[index].check = check;
        }
    }

    /// Defers all scheduled checks until `at`, and discards what peers reported about these
    /// instances.
    pub(crate) fn defer_checks(&mut self, at: Duration) {
        for record in &mut self.records {
            record.check = record.check.map(|_| CheckPlan { at, style: ProbeStyle::Indirect });
        }
    }

    /// Returns the names of other instances that are present at this address.
    pub(crate) fn others_at(&self, address: SocketAddr, name: &InstanceName) -> Vec<InstanceName> {
        self.present()
            .filter(|entry| entry.address == address && entry.name != *name)
            .map(|entry| entry.name.clone())
            .collect()
    }

    /// Drops records of instances that were removed longer than `ttl` ago, and the oldest ones
    /// above the maximum number.
    pub(crate) fn expire(&mut self, now: Duration, ttl: Duration) {
        let expired = |record: &PeerRecord| {
            !is_present(&record.entry) && now.saturating_sub(record.removed_at) >= ttl
        };
        self.records.retain(|record| !expired(record));
        let mut removed: Vec<Duration> = self
            .records
            .iter()
            .filter(|record| !is_present(&record.entry))
            .map(|record| record.removed_at)
            .collect();
        if removed.len() > TOMBSTONES_MAX {
            removed.sort_unstable();
            let oldest_kept = removed[removed.len() - TOMBSTONES_MAX];
            self.records
                .retain(|record| is_present(&record.entry) || record.removed_at >= oldest_kept);
        }
    }

    fn index(&self, name: &InstanceName) -> Result<usize, usize> {
        self.records.binary_search_by(|record| record.entry.name.cmp(name))
    }
}

/// Returns the digest of one entry. Removed entries do not count, since they are dropped at
/// different times; nor does suspicion, since it is temporary.
pub(crate) fn entry_digest(entry: &PeerEntry) -> u32 {
    if !is_present(entry) {
        return 0;
    }
    let mut bytes = entry.name.as_str().as_bytes().to_vec();
    bytes.extend_from_slice(&entry.incarnation.0.to_le_bytes());
    bytes.push(u8::from(entry.state == PeerState::Leaving));
    let [a, b, c, d, ..] = xxh3_64(&bytes).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

fn is_present(entry: &PeerEntry) -> bool {
    entry.state != PeerState::Removed
}
