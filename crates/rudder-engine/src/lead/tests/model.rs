//! In-memory model of instances, a store and messages, driven step by step by a random number
//! generator.

mod change;
mod promotion;
mod subscriber;

use self::change::Change;
use self::promotion::Promotion;
use self::subscriber::Subscriber;
use super::message::Message;
use super::{member, ms, settled};
use crate::lead::{LeadRecord, LeaderEpoch, LeaderLease, LeaseTable, is_quorum};
use crate::own_entry::OwnEntry;
use rand::RngExt;
use rand::rngs::StdRng;
use rudder_core::MemberName;
use std::time::Duration;

/// Number of instances.
const INSTANCES: usize = 5;

/// Index at which a network partition divides the instances.
const PARTITION_AT: usize = 2;

/// Maximum number of instances that are missing from the list at the same time.
const UNLISTED_MAX: usize = 2;

/// Safety check that can be disabled, to show that the schedules depend on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisabledCheck {
    Nothing,
    /// Responses are sent without checking the lease again.
    LeaseAtResponse,
    /// The promotion does not wait for instances that do not respond.
    WaitForExpiry,
    /// An instance confirms its stop without stopping.
    StopBeforeNotice,
    /// The age of a store read counts from its arrival.
    AgeOfStoreRead,
    /// The age of a peer's response counts from its arrival.
    AgeOfPeerResponse,
    /// Confirmations from before the instance's own entry was in the list count as well.
    EntryBeforeConfirmation,
    /// The age of a peer's repeated response to the same request counts from its arrival.
    AgeOfRepeatedResponse,
    /// A change settles although an order for another member may still take effect.
    PendingOrders,
    /// Orders that may still take effect are dropped when a change settles.
    SettledOrders,
}

/// Changes of the instance list during a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListChanges {
    /// All instances stay registered.
    Nothing,
    /// Instances are replaced: their entries are removed, and their successors register at any
    /// time.
    Replaced,
}

/// Whether requests between instances get more than one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RepeatedResponses {
    Never,
    WhenRenewed,
}

struct Instance {
    leases: LeaseTable,
    frozen_until: Duration,
    used_leases: Vec<LeaderLease>,
    change: Option<Change>,
    /// Whether it has read the store since its start.
    has_read: bool,
    /// Number of its current process; increases with each restart.
    process: u64,
    entry: OwnEntry,
    /// Processes that receive another response when this instance has newer state.
    subscribers: Vec<Subscriber>,
    /// Its latest request to all instances, and the instances that confirmed it.
    request_id: u64,
    confirmed_by: Vec<usize>,
}

/// Run of the model.
pub(super) struct Model {
    now: Duration,
    record: LeadRecord,
    instances: Vec<Instance>,
    /// Messages with their arrival times.
    messages: Vec<(Duration, Message)>,
    /// Highest epoch for which a promotion was ordered.
    promoted: u64,
    /// Promotions that have not taken effect yet.
    promotions_due: Vec<Promotion>,
    /// Member that was promoted last.
    leader: MemberName,
    /// End of an outage in which the store responds only to the first instance.
    outage_until: Duration,
    /// End of a partition between the first two instances and the others.
    partitioned_until: Duration,
    last_request_id: u64,
    list_changes: ListChanges,
    repeated_responses: RepeatedResponses,
    /// Whether the store lists each instance.
    listed: [bool; INSTANCES],
    disabled_check: DisabledCheck,
    pub(super) acknowledgments: u32,
    pub(super) promotions: u32,
}

impl Model {
    pub(super) fn new(disabled_check: DisabledCheck, list_changes: ListChanges) -> Self {
        let mut entry = OwnEntry::default();
        entry.observe_listed(Duration::ZERO, Duration::ZERO);
        let instance = || Instance {
            leases: LeaseTable::default(),
            frozen_until: Duration::ZERO,
            used_leases: Vec::new(),
            change: None,
            has_read: false,
            process: 0,
            entry,
            subscribers: Vec::new(),
            request_id: 0,
            confirmed_by: Vec::new(),
        };
        Self {
            now: ms(10_000),
            record: settled(1, "p1", 1, None),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            messages: Vec::new(),
            promoted: 0,
            promotions_due: Vec::new(),
            leader: member("p1"),
            outage_until: Duration::ZERO,
            partitioned_until: Duration::ZERO,
            last_request_id: 0,
            list_changes,
            repeated_responses: RepeatedResponses::Never,
            listed: [true; INSTANCES],
            disabled_check,
            acknowledgments: 0,
            promotions: 0,
        }
    }

    /// Enables repeated responses to a request whenever newer state is known.
    pub(super) fn with_repeated_responses(mut self) -> Self {
        self.repeated_responses = RepeatedResponses::WhenRenewed;
        self
    }

    /// Performs one step; an error describes a violated guarantee.
    pub(super) fn step(&mut self, rng: &mut StdRng) -> Result<(), String> {
        self.now += ms(rng.random_range(0..16));
        self.deliver(rng);
        self.promote_due();
        let index = rng.random_range(0..INSTANCES);
        if self.now < self.instances[index].frozen_until {
            return Ok(());
        }
        // A change polls more often than anything else happens.
        if self.instances[index].change.is_some() && rng.random_range(0..2) == 0 {
            return self.advance_change(index, rng);
        }
        if self.list_changes == ListChanges::Replaced {
            self.replace_instances(index, rng);
        }
        match rng.random_range(0..1000) {
            0..150 => self.read_store(index, rng),
            150..230 => self.request_from_all(index, rng),
            230..310 => self.request_from_peer(index, rng),
            310..560 => self.begin_statement(index),
            560..810 => self.end_statement(index)?,
            810..816 => self.freeze(index, rng),
            816..819 => self.restart(index),
            819..822 => self.outage_until = self.now + ms(rng.random_range(500..12_000)),
            822..825 => self.partitioned_until = self.now + ms(rng.random_range(500..20_000)),
            825..840 => self.begin_change(index, rng),
            _ => self.advance_change(index, rng)?,
        }
        Ok(())
    }

    /// Sends a message that usually arrives fast, sometimes late and sometimes never.
    fn send(&mut self, from: usize, message: Message, rng: &mut StdRng) {
        if self.now < self.partitioned_until && crosses_partition(from, &message) {
            return;
        }
        let delay = match rng.random_range(0..20) {
            0..4 => return,
            4..8 => rng.random_range(100..3000),
            _ => rng.random_range(1..40),
        };
        self.messages.push((self.now + ms(delay), message));
    }

    fn deliver(&mut self, rng: &mut StdRng) {
        let now = self.now;
        let due: Vec<Message> = {
            let (due, left) =
                std::mem::take(&mut self.messages).into_iter().partition(|m| m.0 <= now);
            self.messages = left;
            let due: Vec<(Duration, Message)> = due;
            due.into_iter().map(|(_, message)| message).collect()
        };
        for message in due {
            self.handle(message, rng);
        }
    }

    fn handle(&mut self, message: Message, rng: &mut StdRng) {
        let to = message.receiver();
        let now = self.now;
        if now < self.instances[to].frozen_until {
            // A suspended instance receives the message when it resumes.
            self.messages.push((self.instances[to].frozen_until, message));
            return;
        }
        if !self.is_for_current_process(&message) {
            return;
        }
        match message {
            Message::Record { to, record, confirmed_at, from_store, .. } => {
                let instance = &mut self.instances[to];
                // A peer's response lists all records as of a read of the store at `confirmed_at`,
                // which counts as a read by this process if it was registered by then.
                instance.has_read |= from_store || instance.entry.was_registered_by(confirmed_at);
                let may_lead = instance.has_read
                    && may_grant_lease(self.disabled_check, instance, confirmed_at, now);
                let confirmed_at = if may_lead { confirmed_at } else { Duration::ZERO };
                let before = instance.leases.confirmed_at();
                instance.leases.observe(&record, confirmed_at, now);
                if self.repeated_responses == RepeatedResponses::WhenRenewed
                    && self.instances[to].leases.confirmed_at() > before
                {
                    self.notify_subscribers(to, rng);
                }
            }
            Message::Registered { to, written_at, .. } => {
                self.instances[to].entry.observe_listed(written_at, now);
            }
            Message::Confirm { to, from, request_sent_at, request_id, epoch, .. } => {
                self.handle_confirmation(to, from, request_sent_at, request_id, epoch);
            }
            Message::Request { to, from, process, request_sent_at, request_id } => {
                let confirms = self.instances[to].has_read;
                let epoch = self.instances[to].leases.epoch();
                if request_id > 0 && confirms {
                    let (to, from) = (from, to);
                    let confirmation =
                        Message::Confirm { to, from, process, request_sent_at, request_id, epoch };
                    self.send(from, confirmation, rng);
                }
                let subscriber = Subscriber { from, process, request_sent_at, received_at: now };
                let subscribers = &mut self.instances[to].subscribers;
                subscribers.retain(|known| known.from != from);
                subscribers.push(subscriber);
                let leases = &self.instances[to].leases;
                let Some(record) = leases.record().cloned() else { return };
                let age = now.saturating_sub(leases.confirmed_at());
                let confirmed_at = match self.disabled_check {
                    DisabledCheck::AgeOfPeerResponse => now,
                    _ => request_sent_at.saturating_sub(age),
                };
                let from_store = false;
                let response =
                    Message::Record { to: from, process, record, confirmed_at, from_store };
                self.send(to, response, rng);
            }
            Message::Announce { to, from, record } => {
                self.instances[to].leases.observe(&record, Duration::ZERO, now);
                let force = rng.random_range(0..3) == 0;
                let skips_stop = self.disabled_check == DisabledCheck::StopBeforeNotice;
                if skips_stop || self.instances[to].leases.stop(force) {
                    let epoch = self.instances[to].leases.epoch().0;
                    self.send(to, Message::Stopped { to: from, from: to, epoch }, rng);
                }
            }
            Message::Stopped { to, from, epoch } => {
                let change = self.instances[to].change.as_mut();
                if let Some(change) = change.filter(|change| change.epoch <= epoch) {
                    change.stopped.push(from);
                }
            }
        }
    }

    /// Returns whether the process that sent the request still runs and can receive the response.
    ///
    /// A response of the store arrives on a connection, which ends with its process. A peer's
    /// response names a request, and a new process ignores responses to requests that it did not
    /// send.
    fn is_for_current_process(&self, message: &Message) -> bool {
        let process = self.instances[message.receiver()].process;
        message.requester().is_none_or(|requester| requester == process)
    }

    /// Applies that `from` knew no later version than `epoch` after `request_sent_at`.
    fn handle_confirmation(
        &mut self,
        to: usize,
        from: usize,
        request_sent_at: Duration,
        request_id: u64,
        epoch: LeaderEpoch,
    ) {
        let instance = &mut self.instances[to];
        if !instance.has_read
            || instance.request_id != request_id
            || instance.leases.epoch() != epoch
        {
            return;
        }
        instance.confirmed_by.push(from);
        instance.confirmed_by.sort_unstable();
        instance.confirmed_by.dedup();
        let count = instance.confirmed_by.len() + 1;
        let may_lead = may_grant_lease(self.disabled_check, instance, request_sent_at, self.now);
        if may_lead && is_quorum(count, INSTANCES) {
            instance.leases.confirm_by_majority(epoch, request_sent_at);
        }
    }

    fn request_from_all(&mut self, index: usize, rng: &mut StdRng) {
        self.last_request_id += 1;
        let request_id = self.last_request_id;
        self.instances[index].request_id = request_id;
        self.instances[index].confirmed_by.clear();
        for to in (0..INSTANCES).filter(|to| *to != index) {
            self.send_request(index, to, request_id, rng);
        }
    }

    fn send_request(&mut self, from: usize, to: usize, request_id: u64, rng: &mut StdRng) {
        let (process, request_sent_at) = (self.instances[from].process, self.now);
        self.send(from, Message::Request { to, from, process, request_sent_at, request_id }, rng);
    }

    /// Restarts an instance, which loses all its state.
    fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.process += 1;
        instance.leases = LeaseTable::default();
        instance.used_leases.clear();
        instance.change = None;
        instance.has_read = false;
        instance.subscribers.clear();
        instance.confirmed_by.clear();
        if self.listed[index] {
            instance.entry = OwnEntry::default();
            instance.entry.observe_listed(self.now, self.now);
        }
    }

    /// Replaces an instance by one that is not in the list, or registers such an instance.
    fn replace_instances(&mut self, index: usize, rng: &mut StdRng) {
        let unlisted = self.listed.iter().filter(|listed| !**listed).count();
        match rng.random_range(0..400) {
            0..2 if unlisted < UNLISTED_MAX => {
                self.listed[index] = false;
                self.restart(index);
                self.instances[index].entry = OwnEntry::default();
            }
            2..20 if self.instances[index].entry == OwnEntry::default() => self.join(index, rng),
            _ => {}
        }
    }

    fn join(&mut self, index: usize, rng: &mut StdRng) {
        if self.is_cut_off_from_store(index) {
            return;
        }
        self.listed[index] = true;
        let (process, written_at) = (self.instances[index].process, self.now);
        self.send(index, Message::Registered { to: index, process, written_at }, rng);
    }

    fn is_cut_off_from_store(&self, index: usize) -> bool {
        index > 0 && self.now < self.outage_until
    }

    fn read_store(&mut self, index: usize, rng: &mut StdRng) {
        if self.is_cut_off_from_store(index) {
            return;
        }
        let confirmed_at = match self.disabled_check {
            DisabledCheck::AgeOfStoreRead => self.now + ms(3000),
            _ => self.now,
        };
        let record = self.record.clone();
        let process = self.instances[index].process;
        let response =
            Message::Record { to: index, process, record, confirmed_at, from_store: true };
        self.send(index, response, rng);
    }

    fn request_from_peer(&mut self, index: usize, rng: &mut StdRng) {
        let to = (index + rng.random_range(1..INSTANCES)) % INSTANCES;
        self.send_request(index, to, 0, rng);
    }

    fn begin_statement(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if let Some(lease) = instance.leases.lease(self.now) {
            instance.leases.begin_statement();
            instance.used_leases.push(lease);
        }
    }

    /// Completes a statement; its response is sent if the lease still holds.
    fn end_statement(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.used_leases.is_empty() {
            return Ok(());
        }
        let lease = instance.used_leases.remove(0);
        instance.leases.end_statement();
        if self.disabled_check != DisabledCheck::LeaseAtResponse
            && !instance.leases.holds(&lease, now)
        {
            return Ok(());
        }
        self.acknowledgments += 1;
        if lease.epoch.0 < self.promoted {
            return Err(format!(
                "instance {index} responded for epoch {} at {now:?} after the promotion of epoch {}",
                lease.epoch, self.promoted
            ));
        }
        if lease.primary != self.leader {
            return Err(format!(
                "instance {index} responded for {} at {now:?} although {} was promoted",
                lease.primary, self.leader
            ));
        }
        Ok(())
    }

    fn freeze(&mut self, index: usize, rng: &mut StdRng) {
        self.instances[index].frozen_until = self.now + ms(rng.random_range(100..4000));
    }
}

/// Returns whether a confirmation of the record at `confirmed_at` may grant a lease to an instance.
fn may_grant_lease(
    disabled_check: DisabledCheck,
    instance: &Instance,
    confirmed_at: Duration,
    now: Duration,
) -> bool {
    match disabled_check {
        DisabledCheck::EntryBeforeConfirmation => instance.entry.may_lead_by(now, now),
        _ => instance.entry.may_lead_by(confirmed_at, now),
    }
}

/// Returns whether a message crosses the partition.
fn crosses_partition(from: usize, message: &Message) -> bool {
    message.is_between_peers() && (from < PARTITION_AT) != (message.receiver() < PARTITION_AT)
}
