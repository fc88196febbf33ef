//! Composition of datagrams from a body, updates and hints within the budget of their class.

use super::state::PeerNode;
use crate::budget::{DATAGRAM_OVERHEAD_BYTES, SendClass};
use crate::hints::{HintUrgency, PeerHint};
use crate::member::PeerEntry;
use crate::wire::{
    DATAGRAM_BYTES_MAX, DatagramBody, PeerDatagram, encode_datagram, encoded_entry_size,
    encoded_hint_size,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of membership updates per datagram.
const UPDATES_PER_DATAGRAM: usize = 10;
/// Maximum number of urgent hints per datagram.
const URGENT_PER_DATAGRAM: usize = 20;
/// Maximum number of routine hints per acknowledgement.
const ROUTINE_PER_DATAGRAM: usize = 8;
/// Bytes by which the encoded lengths of the lists may grow.
const COUNT_SLACK_BYTES: usize = 4;

impl PeerNode {
    /// Encodes a datagram with this body and as many updates and hints as fit; returns none if the
    /// budget is used up or a push would be empty.
    pub(super) fn compose(
        &mut self,
        to: SocketAddr,
        body: DatagramBody,
        first_update: Option<PeerEntry>,
        now: Duration,
    ) -> Option<(SocketAddr, Vec<u8>)> {
        let is_push = body == DatagramBody::Push;
        let is_ack = matches!(body, DatagramBody::Ack { .. });
        let mut datagram = PeerDatagram {
            sender: self.membership.local_entry().clone(),
            digest: self.membership.digest(),
            groups: self.cache.digest(),
            revision: self.cache.revision(),
            body,
            updates: first_update.into_iter().collect(),
            hints: Vec::new(),
        };
        let base = encode_datagram(&datagram).ok()?.len() + COUNT_SLACK_BYTES;
        let class = if is_push { SendClass::Updates } else { SendClass::Heartbeat };
        if !self.is_within_budget(base, class, now) {
            self.traffic.withheld += 1;
            return None;
        }
        let mut size = self.add_updates(&mut datagram, base, now);
        size = self.add_hints(&mut datagram, size, HintUrgency::Urgent, URGENT_PER_DATAGRAM, now);
        if is_ack {
            self.add_hints(&mut datagram, size, HintUrgency::Routine, ROUTINE_PER_DATAGRAM, now);
        }
        if is_push && datagram.updates.is_empty() && datagram.hints.is_empty() {
            return None;
        }
        let bytes = encode_datagram(&datagram).ok()?;
        self.charge(&datagram, bytes.len());
        Some((to, bytes))
    }

    fn add_updates(&mut self, datagram: &mut PeerDatagram, base: usize, now: Duration) -> usize {
        let mut size = base;
        for entry in self.membership.next_updates(UPDATES_PER_DATAGRAM) {
            // Every datagram contains the entry of the sender, and the first update is already
            // included.
            if datagram.updates.first() == Some(&entry) || entry.name == datagram.sender.name {
                self.membership.record_sent(&entry.name);
                continue;
            }
            let grown = size + encoded_entry_size(&entry);
            if grown <= DATAGRAM_BYTES_MAX && self.is_within_budget(grown, SendClass::Updates, now)
            {
                size = grown;
                datagram.updates.push(entry);
            }
        }
        size
    }

    fn add_hints(
        &mut self,
        datagram: &mut PeerDatagram,
        base: usize,
        urgency: HintUrgency,
        count_max: usize,
        now: Duration,
    ) -> usize {
        let class = match urgency {
            HintUrgency::Urgent => SendClass::Updates,
            HintUrgency::Routine => SendClass::Routine,
        };
        let mut size = base;
        for hint in self.cache.pending(urgency, count_max, now) {
            let grown = size + encoded_hint_size(&hint);
            if grown <= DATAGRAM_BYTES_MAX && self.is_within_budget(grown, class, now) {
                size = grown;
                datagram.hints.push(hint);
            }
        }
        size
    }

    fn is_within_budget(&mut self, size: usize, class: SendClass, now: Duration) -> bool {
        self.datagram_bucket.allows(charged_bytes(size), class, now)
    }

    fn charge(&mut self, datagram: &PeerDatagram, size: usize) {
        self.datagram_bucket.take(charged_bytes(size));
        self.traffic.datagrams += 1;
        self.traffic.datagram_bytes += charged_bytes(size);
        for entry in &datagram.updates {
            self.membership.record_sent(&entry.name);
        }
        for hint in &datagram.hints {
            self.cache.record_sent(hint);
        }
    }
}

/// Returns the bytes charged for a datagram of this size, including headers.
fn charged_bytes(size: usize) -> u64 {
    u64::try_from(size).unwrap_or(u64::MAX).saturating_add(DATAGRAM_OVERHEAD_BYTES)
}

/// Adjusts the age of a received hint. Only for an acknowledgement is the time that the hint spent
/// on the network bounded; otherwise the age has no bound.
pub(super) fn received_hint(hint: PeerHint, round_trip: Option<Duration>) -> PeerHint {
    match round_trip {
        Some(round_trip) => hint.aged(round_trip),
        None => hint.without_age_bound(),
    }
}
