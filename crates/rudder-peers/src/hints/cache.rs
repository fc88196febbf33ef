//! Cache of the newest hints, and the number of times each is still to be sent.

use super::hint::{HintKey, HintUrgency, PeerHint};
use std::time::Duration;

/// Maximum number of cached hints: several times the samples and votes of 780 groups with three
/// members each.
const HINTS_MAX: usize = 16_384;

/// Lifetime of a vote. A vote describes the last few seconds; after that it only uses memory.
const VOTE_TTL: Duration = Duration::from_secs(30);

/// Lifetime of a leaving notice. By then the settings list the member as leaving, or it has left.
const NOTICE_TTL: Duration = Duration::from_secs(600);

/// Number of times a routine hint is sent.
const ROUTINE_SENDS_MAX: u32 = 2;

#[derive(Clone, Debug)]
struct HintRecord {
    key: HintKey,
    hint: PeerHint,
    received_at: Duration,
    urgency: HintUrgency,
    sends_left: u32,
}

/// Newest hint for each key, sorted by key, and the number of times each is still to be sent.
#[derive(Debug, Default)]
pub(crate) struct HintCache {
    records: Vec<HintRecord>,
    digest: u32,
}

impl HintCache {
    /// Inserts a hint. Returns its urgency, or none if it is not newer than the cached one.
    ///
    /// `sends` is the number of times an urgent hint is sent; `relayed` is true if the hint came
    /// from a peer.
    pub(crate) fn insert(
        &mut self,
        hint: PeerHint,
        relayed: bool,
        sends: u32,
        now: Duration,
    ) -> Option<HintUrgency> {
        let key = hint.key();
        let found = self.records.binary_search_by(|record| record.key.cmp(&key));
        let known = found.ok().map(|index| self.records[index].current(now));
        let urgency = hint.urgency_after(known.as_ref())?;
        let sends_left = match urgency {
            HintUrgency::Urgent => sends,
            // Routine hints are not relayed: 780 groups relayed by 570 instances would exceed any
            // budget, and each relay increases the age.
            HintUrgency::Routine if relayed => 0,
            HintUrgency::Routine => ROUTINE_SENDS_MAX,
        };
        if found.is_err() && self.records.len() >= HINTS_MAX {
            return None;
        }
        self.digest = self.digest.wrapping_add(hint.digest());
        let record = HintRecord { key, hint, received_at: now, urgency, sends_left };
        match found {
            Ok(index) => {
                // A refresh of a term that is still being sent must not stop the sending of that
                // term.
                let pending = &self.records[index];
                self.digest = self.digest.wrapping_sub(pending.hint.digest());
                let urgent_pending = pending.urgency == HintUrgency::Urgent
                    && pending.sends_left > record.sends_left;
                let (urgency, sends_left) = if urgent_pending {
                    (pending.urgency, pending.sends_left)
                } else {
                    (record.urgency, record.sends_left)
                };
                self.records[index] = HintRecord { urgency, sends_left, ..record };
            }
            Err(index) => self.records.insert(index, record),
        }
        Some(urgency)
    }

    /// Returns the digest of the terms of all groups; zero if none is known.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the primaries of all groups, without bounds on their ages.
    pub(crate) fn groups(&self) -> Vec<PeerHint> {
        let is_group = |hint: &&PeerHint| matches!(hint, PeerHint::Group(_));
        let hints = self.records.iter().map(|record| &record.hint);
        hints.filter(is_group).cloned().map(PeerHint::without_age_bound).collect()
    }

    /// Returns the hints of this urgency that are still to be sent, the least often sent first,
    /// with their ages at `now`.
    pub(crate) fn pending(
        &self,
        urgency: HintUrgency,
        count_max: usize,
        now: Duration,
    ) -> Vec<PeerHint> {
        let is_pending = |record: &&HintRecord| record.urgency == urgency && record.sends_left > 0;
        let mut pending: Vec<&HintRecord> = self.records.iter().filter(is_pending).collect();
        pending.sort_by_key(|record| std::cmp::Reverse(record.sends_left));
        pending.iter().take(count_max).map(|record| record.current(now)).collect()
    }

    /// Records that a hint has been sent once more.
    pub(crate) fn record_sent(&mut self, hint: &PeerHint) {
        let key = hint.key();
        if let Ok(index) = self.records.binary_search_by(|record| record.key.cmp(&key)) {
            let record = &mut self.records[index];
            record.sends_left = record.sends_left.saturating_sub(1);
        }
    }

    /// Returns the greatest known revision number; zero if none is known.
    pub(crate) fn revision(&self) -> u64 {
        match self.records.first().map(|record| &record.hint) {
            Some(PeerHint::Revision(hint)) => hint.number,
            _ => 0,
        }
    }

    /// Removes expired votes and notices.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.records.retain(|record| {
            let age = now.saturating_sub(record.received_at);
            match record.hint {
                PeerHint::Vote(_) => age < VOTE_TTL,
                PeerHint::Leaving(_) => age < NOTICE_TTL,
                _ => true,
            }
        });
    }
}

impl HintRecord {
    fn current(&self, now: Duration) -> PeerHint {
        self.hint.clone().aged(now.saturating_sub(self.received_at))
    }
}
