//! State machine of the communication of an instance with its peers.

use super::budget::{BudgetSettings, TrafficCount};
use super::compose::received_hint;
use super::digest::DigestWatch;
use crate::budget::{DATAGRAM_OVERHEAD_BYTES, SendClass, TokenBucket};
use crate::hints::{
    HintCache, HintMessage, HintUrgency, LeavingNotice, LeavingSubject, PeerHint, RevisionHint,
};
use crate::member::PeerEntry;
use crate::membership::{Membership, PeerAction};
use crate::wire::{
    DatagramBody, PeerDatagram, PeerTableFrame, WireError, decode_datagram, encode_datagram,
};
use rudder_core::InstanceName;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of peers to which urgent hints are pushed in one round.
const PUSH_FANOUT: usize = 4;

/// Number of push rounds for each urgent hint. One round with a fanout of four reaches all but
/// about a fiftieth of a large fleet; after two, heartbeats only have to deliver what was lost on
/// the network.
const PUSH_ROUNDS: u32 = 2;

/// Minimum time between two push rounds. Urgent hints that arrive within this time are pushed
/// together.
const PUSH_SPACING: Duration = Duration::from_millis(50);

/// Output for the driver.
#[derive(Debug, Default)]
pub(crate) struct NodeOutput {
    /// Datagrams to send.
    pub(crate) datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Hints that are newer than those known, to pass to the handler.
    pub(crate) hints: Vec<HintMessage>,
    /// Peers from which state is to be fetched.
    pub(crate) fetches: Vec<(SocketAddr, FetchKind)>,
}

/// Kind of state that is fetched from a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FetchKind {
    /// Table of instances.
    Peers,
    /// Primaries of groups.
    Groups,
}

/// State of the communication of one instance with its peers.
#[derive(Debug)]
pub(crate) struct PeerNode {
    pub(super) membership: Membership,
    pub(super) cache: HintCache,
    pub(super) datagram_bucket: TokenBucket,
    pub(super) traffic: TrafficCount,
    table_bucket: TokenBucket,
    peers_watch: DigestWatch,
    groups_watch: DigestWatch,
    push_rounds: u32,
    pushed_at: Option<Duration>,
}

impl PeerNode {
    pub(crate) fn new(membership: Membership, budget: &BudgetSettings, now: Duration) -> Self {
        Self {
            membership,
            cache: HintCache::default(),
            datagram_bucket: TokenBucket::new(budget.datagram_rate, budget.datagram_depth, now),
            table_bucket: TokenBucket::new(budget.table_rate, budget.table_depth, now),
            traffic: TrafficCount::default(),
            peers_watch: DigestWatch::default(),
            groups_watch: DigestWatch::default(),
            push_rounds: 0,
            pushed_at: None,
        }
    }

    pub(crate) fn traffic(&self) -> TrafficCount {
        self.traffic
    }

    /// Returns the entry of this instance.
    pub(crate) fn local_entry(&self) -> &PeerEntry {
        self.membership.local_entry()
    }

    /// Returns the instances that are not removed, including this one, sorted by name.
    pub(crate) fn snapshot(&self) -> Vec<PeerEntry> {
        self.membership.snapshot()
    }

    pub(crate) fn take_changed(&mut self) -> bool {
        self.membership.take_changed()
    }

    /// Returns the address at which an instance listens.
    pub(crate) fn address_of(&self, name: &InstanceName) -> Option<SocketAddr> {
        self.membership.entry(name).map(|entry| entry.address)
    }

    /// Advances the state machine to `now`.
    pub(crate) fn tick(&mut self, now: Duration) -> NodeOutput {
        let mut output = NodeOutput::default();
        let actions = self.membership.tick(now);
        self.perform(actions, &mut output, now);
        self.cache.expire(now);
        self.push(&mut output, now);
        output
    }

    /// Processes a datagram.
    pub(crate) fn receive(&mut self, bytes: &[u8], now: Duration) -> Result<NodeOutput, WireError> {
        let datagram = decode_datagram(bytes)?;
        let mut output = NodeOutput::default();
        let alone = self.membership.is_alone();
        let (actions, round_trip) = self.membership.receive(&datagram, now);
        self.compare_digests(&datagram, alone, &mut output, now);
        self.process_hints(datagram, round_trip, &mut output, now);
        self.perform(actions, &mut output, now);
        self.push(&mut output, now);
        Ok(output)
    }

    /// Publishes a hint of this instance to all instances.
    pub(crate) fn publish(&mut self, hint: PeerHint, now: Duration) -> NodeOutput {
        let mut output = NodeOutput::default();
        if !self.apply_instance_leaving(&hint, now) {
            let sends = self.hint_sends();
            let urgency = self.cache.insert(hint, false, sends, now);
            if urgency == Some(HintUrgency::Urgent) {
                self.push_rounds = PUSH_ROUNDS;
            }
        }
        self.push(&mut output, now);
        output
    }

    /// Sends a hint to these instances only.
    pub(crate) fn send_hint(
        &mut self,
        names: &[InstanceName],
        hint: &PeerHint,
        now: Duration,
    ) -> NodeOutput {
        let mut output = NodeOutput::default();
        for name in names {
            let Some(to) = self.address_of(name) else { continue };
            let datagram = PeerDatagram {
                sender: self.membership.local_entry().clone(),
                digest: self.membership.digest(),
                groups: self.cache.digest(),
                revision: self.cache.revision(),
                body: DatagramBody::Direct,
                updates: Vec::new(),
                hints: vec![hint.clone()],
            };
            let Ok(bytes) = encode_datagram(&datagram) else { continue };
            let charged = u64::try_from(bytes.len()).unwrap_or(u64::MAX) + DATAGRAM_OVERHEAD_BYTES;
            if self.datagram_bucket.allows(charged, SendClass::Updates, now) {
                self.datagram_bucket.take(charged);
                self.traffic.datagrams += 1;
                self.traffic.datagram_bytes += charged;
                output.datagrams.push((to, bytes));
            } else {
                self.traffic.withheld += 1;
            }
        }
        output
    }

    /// Marks this instance as leaving and pushes that to peers.
    pub(crate) fn leave(&mut self, now: Duration) -> NodeOutput {
        let mut output = NodeOutput::default();
        self.membership.leave();
        self.push(&mut output, now);
        output
    }

    /// Records that a transfer failed.
    pub(crate) fn fetch_failed(&mut self, kind: FetchKind) {
        match kind {
            FetchKind::Peers => self.peers_watch.record_failure(),
            FetchKind::Groups => self.groups_watch.record_failure(),
        }
    }

    /// Returns the table of this instance, for a peer.
    pub(crate) fn table(&self) -> PeerTableFrame {
        PeerTableFrame {
            sender: self.membership.local_entry().clone(),
            entries: self.membership.known(),
        }
    }

    /// Whether a table of this size may be sent now; if so, it is charged to the budget.
    pub(crate) fn charge_table(&mut self, bytes: u64, now: Duration) -> bool {
        let allowed = self.table_bucket.take_with_debt(bytes, now);
        if allowed {
            self.traffic.table_bytes += bytes;
        } else {
            self.traffic.tables_refused += 1;
        }
        allowed
    }

    /// Returns the primaries of groups that this instance knows, for a peer; their ages have no
    /// bound.
    pub(crate) fn groups(&self) -> Vec<PeerHint> {
        self.cache.groups()
    }

    /// Merges the primaries that a peer knows.
    pub(crate) fn merge_groups(
        &mut self,
        from: &InstanceName,
        groups: Vec<PeerHint>,
        now: Duration,
    ) -> NodeOutput {
        let mut output = NodeOutput::default();
        // Other instances already know these hints, so fetched hints are not relayed.
        self.accept_hints(
            from,
            groups.into_iter().map(PeerHint::without_age_bound),
            0,
            &mut output,
            now,
        );
        output
    }

    /// Merges the table of a peer, and returns the differences to send to the peer.
    pub(crate) fn merge(&mut self, table: &PeerTableFrame, now: Duration) -> Vec<PeerEntry> {
        self.membership.merge(&table.sender, &table.entries, now)
    }

    fn perform(&mut self, actions: Vec<PeerAction>, output: &mut NodeOutput, now: Duration) {
        for action in actions {
            let sequence = action.body.probe_sequence();
            match self.compose(action.to, action.body, action.first_update, now) {
                Some(datagram) => output.datagrams.push(datagram),
                // Discards probes that the budget did not allow to send. Otherwise the missing
                // acknowledgement would count as a failure of the target, and with the budget used
                // up, live instances would be suspected and removed.
                None => self.membership.abandon_probe(sequence),
            }
        }
    }

    /// Requests a transfer from the sender if the digests have differed for a while, or if nothing
    /// is known here yet.
    fn compare_digests(
        &mut self,
        datagram: &PeerDatagram,
        alone: bool,
        output: &mut NodeOutput,
        now: Duration,
    ) {
        let from = datagram.sender.address;
        let mine = self.membership.digest();
        if self.peers_watch.compare(mine, datagram.digest, alone, now) {
            output.fetches.push((from, FetchKind::Peers));
        }
        let mine = self.cache.digest();
        if self.groups_watch.compare(mine, datagram.groups, mine == 0, now) {
            output.fetches.push((from, FetchKind::Groups));
        }
    }

    fn process_hints(
        &mut self,
        datagram: PeerDatagram,
        round_trip: Option<Duration>,
        output: &mut NodeOutput,
        now: Duration,
    ) {
        // Direct hints are not relayed: when each receiver relayed the votes on a lasting
        // suspicion, they used up the budgets of the peers, and the responses to these votes were
        // withheld.
        let is_direct = datagram.body == DatagramBody::Direct;
        let mut hints = datagram.hints;
        if datagram.revision > self.cache.revision() {
            hints.push(PeerHint::Revision(RevisionHint { number: datagram.revision }));
        }
        let received = hints.into_iter().map(|hint| received_hint(hint, round_trip));
        let sends = if is_direct { 0 } else { self.hint_sends() };
        self.accept_hints(&datagram.sender.name, received, sends, output, now);
    }

    /// Applies a hint that an instance is leaving and returns true; returns false for all other
    /// hints. The membership distributes this state, so the hint is not cached.
    fn apply_instance_leaving(&mut self, hint: &PeerHint, now: Duration) -> bool {
        let PeerHint::Leaving(LeavingNotice { subject: LeavingSubject::Instance(name) }) = hint
        else {
            return false;
        };
        self.membership.mark_leaving(name, now);
        true
    }

    /// Returns the number of times an urgent hint is sent: the push rounds, and then as often as
    /// membership updates.
    fn hint_sends(&self) -> u32 {
        PUSH_ROUNDS * u32::try_from(PUSH_FANOUT).unwrap_or_default() + self.membership.sends()
    }

    fn accept_hints(
        &mut self,
        from: &InstanceName,
        hints: impl Iterator<Item = PeerHint>,
        sends: u32,
        output: &mut NodeOutput,
        now: Duration,
    ) {
        for hint in hints {
            if self.apply_instance_leaving(&hint, now) {
                continue;
            }
            if let Some(urgency) = self.cache.insert(hint.clone(), true, sends, now) {
                if urgency == HintUrgency::Urgent && sends > 0 {
                    self.push_rounds = PUSH_ROUNDS;
                }
                output.hints.push(HintMessage { from: from.clone(), hint });
            }
        }
    }

    /// Pushes urgent hints and updates to a few random peers.
    fn push(&mut self, output: &mut NodeOutput, now: Duration) {
        if self.membership.take_urgent() {
            self.push_rounds = PUSH_ROUNDS;
        }
        let interval_elapsed =
            self.pushed_at.is_none_or(|pushed| now.saturating_sub(pushed) >= PUSH_SPACING);
        if self.push_rounds == 0 || !interval_elapsed {
            return;
        }
        self.push_rounds -= 1;
        self.pushed_at = Some(now);
        for to in self.membership.sample(PUSH_FANOUT) {
            output.datagrams.extend(self.compose(to, DatagramBody::Push, None, now));
        }
    }
}
