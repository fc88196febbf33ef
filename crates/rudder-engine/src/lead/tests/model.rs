//! Instances, a store and messages in memory, driven step by step by a random source.

mod change;
mod subscriber;

use self::change::Change;
use self::subscriber::Subscriber;
use super::message::Message;
use super::{ms, settled};
use crate::lead::{LeadRecord, LeaderEpoch, LeaderLease, LeaseTable, is_quorum};
use crate::own_entry::OwnEntry;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;

/// Instances of the model.
const INSTANCES: usize = 5;

/// Where a split divides the instances.
const SPLIT_AT: usize = 2;

/// Instances that may be out of the list at once.
const UNLISTED_MAX: usize = 2;

/// A guard that can be taken out, to see that the schedules need it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TakenOut {
    Nothing,
    /// Answers go out without another look at the lease.
    LookAtAnswer,
    /// The promotion does not wait for instances that are silent.
    WaitForExpiry,
    /// An instance says that it stopped, and goes on.
    StopBeforeWord,
    /// A read of the store counts from its arrival.
    AgeOfRead,
    /// A peer's word counts from its arrival.
    AgeOfPeerWord,
    /// What was said before the own entry stood in the list counts as well.
    EntryBeforeWord,
    /// A peer's later answer to the same question counts from its arrival.
    AgeOfLaterAnswer,
}

/// What happens to the list of instances during a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListChanges {
    /// All instances stand in it throughout.
    Nothing,
    /// Instances are replaced: their entries go, and their successors enter it at any moment.
    Replaced,
}

/// Whether questions between instances are answered more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LaterAnswers {
    Never,
    WhenRenewed,
}

struct Instance {
    leases: LeaseTable,
    frozen_until: Duration,
    under_way: Vec<LeaderLease>,
    change: Option<Change>,
    /// Whether it has read the store since it started.
    has_read: bool,
    /// Counts its processes.
    process: u64,
    entry: OwnEntry,
    /// Whose questions it answers again when it knows more.
    subscribers: Vec<Subscriber>,
    /// Its last question to all, and who confirmed.
    question: u64,
    confirmers: Vec<usize>,
}

/// One run of the model.
pub(super) struct Model {
    now: Duration,
    record: LeadRecord,
    instances: Vec<Instance>,
    /// Messages with the time at which they arrive.
    messages: Vec<(Duration, Message)>,
    /// The greatest epoch for which a promotion was ordered.
    promoted: u64,
    /// Until when the store answers nobody but the first instance.
    outage_until: Duration,
    /// Until when the first two instances and the others do not hear each other.
    split_until: Duration,
    questions: u64,
    list_changes: ListChanges,
    later_answers: LaterAnswers,
    /// Which instances the store lists.
    listed: [bool; INSTANCES],
    out: TakenOut,
    pub(super) answers: u32,
    pub(super) promotions: u32,
}

impl Model {
    pub(super) fn new(out: TakenOut, list_changes: ListChanges) -> Self {
        let mut entry = OwnEntry::default();
        entry.show(Duration::ZERO, Duration::ZERO);
        let instance = || Instance {
            leases: LeaseTable::default(),
            frozen_until: Duration::ZERO,
            under_way: Vec::new(),
            change: None,
            has_read: false,
            process: 0,
            entry,
            subscribers: Vec::new(),
            question: 0,
            confirmers: Vec::new(),
        };
        Self {
            now: ms(10_000),
            record: settled(1, "p1", 1, None),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            messages: Vec::new(),
            promoted: 0,
            outage_until: Duration::ZERO,
            split_until: Duration::ZERO,
            questions: 0,
            list_changes,
            later_answers: LaterAnswers::Never,
            listed: [true; INSTANCES],
            out,
            answers: 0,
            promotions: 0,
        }
    }

    /// The same with questions that are answered again whenever there is newer knowledge.
    pub(super) fn with_later_answers(mut self) -> Self {
        self.later_answers = LaterAnswers::WhenRenewed;
        self
    }

    /// One step; an error tells of a broken promise.
    pub(super) fn step(&mut self, rng: &mut StdRng) -> Result<(), String> {
        self.now += ms(rng.random_range(0..16));
        self.deliver(rng);
        let index = rng.random_range(0..INSTANCES);
        if self.now < self.instances[index].frozen_until {
            return Ok(());
        }
        if self.list_changes == ListChanges::Replaced {
            self.change_list(index, rng);
        }
        match rng.random_range(0..1000) {
            0..150 => self.read_store(index, rng),
            150..230 => self.ask_all(index, rng),
            230..310 => self.ask_peer(index, rng),
            310..560 => self.begin_work(index),
            560..810 => self.end_work(index)?,
            810..816 => self.freeze(index, rng),
            816..819 => self.restart(index),
            819..822 => self.outage_until = self.now + ms(rng.random_range(500..12_000)),
            822..825 => self.split_until = self.now + ms(rng.random_range(500..20_000)),
            825..840 => self.begin_change(index, rng),
            _ => self.advance_change(index, rng)?,
        }
        Ok(())
    }

    /// Mostly fast, at times slow, at times never.
    fn send(&mut self, from: usize, message: Message, rng: &mut StdRng) {
        if self.now < self.split_until && crosses_split(from, &message) {
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
            self.take(message, rng);
        }
    }

    fn take(&mut self, message: Message, rng: &mut StdRng) {
        let to = message.receiver();
        let now = self.now;
        if now < self.instances[to].frozen_until {
            // A frozen machine finds it when it wakes.
            self.messages.push((self.instances[to].frozen_until, message));
            return;
        }
        if !self.reaches_its_process(&message) {
            return;
        }
        match message {
            Message::Record { to, record, confirmed_at, own, .. } => {
                let instance = &mut self.instances[to];
                instance.has_read |= own;
                let may_lead =
                    instance.has_read && may_lead_by(self.out, instance, confirmed_at, now);
                let confirmed_at = if may_lead { confirmed_at } else { Duration::ZERO };
                let before = instance.leases.confirmed_at();
                instance.leases.observe(&record, confirmed_at, now);
                if self.later_answers == LaterAnswers::WhenRenewed
                    && self.instances[to].leases.confirmed_at() > before
                {
                    self.tell_subscribers(to, rng);
                }
            }
            Message::Entered { to, written_at, .. } => {
                self.instances[to].entry.show(written_at, now);
            }
            Message::Confirm { to, from, asked_at, question, epoch, .. } => {
                self.take_confirmation(to, from, asked_at, question, epoch);
            }
            Message::Ask { to, from, process, asked_at, question } => {
                let confirms = self.instances[to].has_read;
                let epoch = self.instances[to].leases.epoch();
                if question > 0 && confirms {
                    let (to, from) = (from, to);
                    let confirmation =
                        Message::Confirm { to, from, process, asked_at, question, epoch };
                    self.send(from, confirmation, rng);
                }
                let subscriber = Subscriber { from, process, asked_at, received_at: now };
                let subscribers = &mut self.instances[to].subscribers;
                subscribers.retain(|known| known.from != from);
                subscribers.push(subscriber);
                let leases = &self.instances[to].leases;
                let Some(record) = leases.record().cloned() else { return };
                let age = now.saturating_sub(leases.confirmed_at());
                let confirmed_at = match self.out {
                    TakenOut::AgeOfPeerWord => now,
                    _ => asked_at.saturating_sub(age),
                };
                let own = false;
                let answer = Message::Record { to: from, process, record, confirmed_at, own };
                self.send(to, answer, rng);
            }
            Message::Announce { to, from, record } => {
                self.instances[to].leases.observe(&record, Duration::ZERO, now);
                let force = rng.random_range(0..3) == 0;
                let kept = self.out == TakenOut::StopBeforeWord;
                if kept || self.instances[to].leases.stop(force) {
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

    /// Whether the process that asked is still there to get the answer.
    ///
    /// An answer of the store comes on a connection, which ends with its process; a peer's answer
    /// names a question, and a new process takes none to questions that it did not ask.
    fn reaches_its_process(&self, message: &Message) -> bool {
        let process = self.instances[message.receiver()].process;
        message.asker().is_none_or(|asker| asker == process)
    }

    /// Takes in that `from` knew of no later version than `epoch` after `asked_at`.
    fn take_confirmation(
        &mut self,
        to: usize,
        from: usize,
        asked_at: Duration,
        question: u64,
        epoch: LeaderEpoch,
    ) {
        let instance = &mut self.instances[to];
        if !instance.has_read || instance.question != question || instance.leases.epoch() != epoch {
            return;
        }
        instance.confirmers.push(from);
        instance.confirmers.sort_unstable();
        instance.confirmers.dedup();
        let count = instance.confirmers.len() + 1;
        let may_lead = may_lead_by(self.out, instance, asked_at, self.now);
        if may_lead && is_quorum(count, INSTANCES) {
            instance.leases.confirm_by_majority(epoch, asked_at);
        }
    }

    fn ask_all(&mut self, index: usize, rng: &mut StdRng) {
        self.questions += 1;
        let question = self.questions;
        self.instances[index].question = question;
        self.instances[index].confirmers.clear();
        for to in (0..INSTANCES).filter(|to| *to != index) {
            self.ask(index, to, question, rng);
        }
    }

    fn ask(&mut self, from: usize, to: usize, question: u64, rng: &mut StdRng) {
        let (process, asked_at) = (self.instances[from].process, self.now);
        self.send(from, Message::Ask { to, from, process, asked_at, question }, rng);
    }

    /// A process is killed and starts again; it knows nothing of before.
    fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.process += 1;
        instance.leases = LeaseTable::default();
        instance.under_way.clear();
        instance.change = None;
        instance.has_read = false;
        instance.subscribers.clear();
        instance.confirmers.clear();
    }

    /// An instance is replaced by one that is not in the list, or such a one enters it.
    fn change_list(&mut self, index: usize, rng: &mut StdRng) {
        let unlisted = self.listed.iter().filter(|listed| !**listed).count();
        match rng.random_range(0..400) {
            0..2 if unlisted < UNLISTED_MAX => {
                self.listed[index] = false;
                self.restart(index);
                self.instances[index].entry = OwnEntry::default();
            }
            2..20 if self.instances[index].entry == OwnEntry::default() => self.enter(index, rng),
            _ => {}
        }
    }

    fn enter(&mut self, index: usize, rng: &mut StdRng) {
        if self.is_cut_off(index) {
            return;
        }
        self.listed[index] = true;
        let (process, written_at) = (self.instances[index].process, self.now);
        self.send(index, Message::Entered { to: index, process, written_at }, rng);
    }

    fn is_cut_off(&self, index: usize) -> bool {
        index > 0 && self.now < self.outage_until
    }

    fn read_store(&mut self, index: usize, rng: &mut StdRng) {
        if self.is_cut_off(index) {
            return;
        }
        let confirmed_at = match self.out {
            TakenOut::AgeOfRead => self.now + ms(3000),
            _ => self.now,
        };
        let record = self.record.clone();
        let process = self.instances[index].process;
        let answer = Message::Record { to: index, process, record, confirmed_at, own: true };
        self.send(index, answer, rng);
    }

    fn ask_peer(&mut self, index: usize, rng: &mut StdRng) {
        let to = (index + rng.random_range(1..INSTANCES)) % INSTANCES;
        self.ask(index, to, 0, rng);
    }

    fn begin_work(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        if let Some(lease) = instance.leases.lease(self.now) {
            instance.leases.enter();
            instance.under_way.push(lease);
        }
    }

    /// An answer came from the member; it goes out if the lease still holds.
    fn end_work(&mut self, index: usize) -> Result<(), String> {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.under_way.is_empty() {
            return Ok(());
        }
        let lease = instance.under_way.remove(0);
        instance.leases.leave();
        if self.out != TakenOut::LookAtAnswer && !instance.leases.holds(&lease, now) {
            return Ok(());
        }
        self.answers += 1;
        if lease.epoch.0 < self.promoted {
            return Err(format!(
                "instance {index} answered for epoch {} at {now:?} after the promotion of epoch {}",
                lease.epoch, self.promoted
            ));
        }
        Ok(())
    }

    fn freeze(&mut self, index: usize, rng: &mut StdRng) {
        self.instances[index].frozen_until = self.now + ms(rng.random_range(100..4000));
    }
}

/// Whether what was said of the record at `said_at` may give an instance a lease.
fn may_lead_by(out: TakenOut, instance: &Instance, said_at: Duration, now: Duration) -> bool {
    match out {
        TakenOut::EntryBeforeWord => instance.entry.may_lead_by(now, now),
        _ => instance.entry.may_lead_by(said_at, now),
    }
}

/// Whether a message is between instances that a split divides.
fn crosses_split(from: usize, message: &Message) -> bool {
    message.is_between_peers() && (from < SPLIT_AT) != (message.receiver() < SPLIT_AT)
}
