//! The store's object for the counting authority, its simulated calls, and the transfer of
//! confirmations between instances.

use super::{JOIN_DELAY, SimFleet};
use rand::RngExt;
use rand::rngs::SmallRng;
use rudder_decisions::{AuthorityAction, AuthorityRecord, WriteOutcome};
use std::time::Duration;

/// Time after which a call without a response ends.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which confirmations pass from instance to instance.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(100);

/// Call to the store by one instance.
struct SimCall {
    instance: usize,
    /// Version that is replaced, and the new record; `None` for a read.
    write: Option<(Option<u64>, AuthorityRecord)>,
    sent_at: Duration,
    execute_at: Duration,
    respond_at: Duration,
    executed: bool,
    /// Response: whether a write was executed, and the object after the call.
    response: Option<(bool, Option<(AuthorityRecord, u64)>)>,
}

/// Simulated store with the object of the counting authority.
pub(super) struct SimStore {
    /// Separate from that of the fleet, so that seeds of other schedules keep their course.
    random: SmallRng,
    object: Option<(AuthorityRecord, u64)>,
    calls: Vec<SimCall>,
}

impl SimStore {
    pub(super) fn new(random: SmallRng) -> Self {
        Self { random, object: None, calls: Vec::new() }
    }

    /// Executes a call; a write only replaces the version that it names.
    fn execute(&mut self, call: usize) {
        self.calls[call].executed = true;
        let before = self.object.as_ref().map(|(_, version)| *version);
        let mut done = false;
        if let Some((expected, record)) = &self.calls[call].write
            && *expected == before
        {
            self.object = Some((record.clone(), before.unwrap_or_default() + 1));
            done = true;
        }
        self.calls[call].response = Some((done, self.object.clone()));
    }
}

impl SimFleet {
    /// Returns the instance that holds the counting authority, or the first one before there is one.
    pub(crate) fn authority_holder(&self) -> usize {
        let holder = self.store.object.as_ref().map(|(record, _)| &record.term.holder);
        let position = |name: &rudder_core::InstanceName| {
            self.instances.iter().position(|known| known.name == *name)
        };
        holder.and_then(position).unwrap_or(0)
    }

    /// Lets fleet readers call the store, and passes confirmations on.
    pub(super) fn update_authority(&mut self) {
        self.execute_calls();
        for index in 0..self.instances.len() {
            if self.is_running(index) {
                self.keep_authority(index);
            }
        }
        if self.is_at_interval(TRANSFER_INTERVAL) {
            self.transfer_confirmations();
        }
    }

    fn is_at_interval(&self, interval: Duration) -> bool {
        self.now.as_millis().is_multiple_of(interval.as_millis())
    }

    fn has_joined(&self, index: usize) -> bool {
        self.is_running(index) && self.now >= self.instances[index].started_at + JOIN_DELAY
    }

    /// Whether `index` is the first running instance among those that it reaches.
    fn is_fleet_reader(&self, index: usize) -> bool {
        let is_earlier = |other| self.has_joined(other) && self.is_linked(index, other);
        self.has_joined(index) && !(0..index).any(is_earlier)
    }

    fn reaches_store(&self, index: usize) -> bool {
        !self.store_unreachable && self.instances[index].store_serves
    }

    fn execute_calls(&mut self) {
        for call in 0..self.store.calls.len() {
            let known = &self.store.calls[call];
            if !known.executed && self.now >= known.execute_at && self.reaches_store(known.instance)
            {
                self.store.execute(call);
            }
        }
        let calls = std::mem::take(&mut self.store.calls);
        let (ended, running) = calls.into_iter().partition(|call| {
            let is_over = self.now >= call.sent_at + CALL_TIMEOUT;
            self.is_running(call.instance)
                && (is_over || (call.executed && self.now >= call.respond_at))
        });
        self.store.calls = running;
        for call in ended {
            self.end_call(call);
        }
    }

    fn end_call(&mut self, call: SimCall) {
        let is_timely = self.now < call.sent_at + CALL_TIMEOUT;
        let instance = &mut self.instances[call.instance];
        if call.sent_at < instance.started_at {
            return;
        }
        let response = call.response.filter(|_| is_timely);
        match (call.write, response) {
            (None, None) => instance.keeper.record_failed_read(self.now),
            (None, Some((_, object))) => {
                instance.authority_version = object.as_ref().map(|(_, version)| *version);
                let record = object.map(|(record, _)| record);
                instance.keeper.record_read(record, self.now);
            }
            (Some((_, record)), response) => {
                let outcome = match response {
                    None => WriteOutcome::Unknown,
                    Some((false, _)) => WriteOutcome::Rejected,
                    Some((true, object)) => {
                        instance.authority_version = object.map(|(_, version)| version);
                        WriteOutcome::Written
                    }
                };
                instance.keeper.record_write(&record, outcome, call.sent_at);
            }
        }
    }

    fn keep_authority(&mut self, index: usize) {
        let holds = self.instances[index].keeper.confirmation().is_some();
        if !holds && !self.is_fleet_reader(index) {
            self.instances[index].keeper.release();
            return;
        }
        if self.store.calls.iter().all(|call| call.instance != index) {
            let instance = &self.instances[index];
            match instance.keeper.next_action(&instance.authority, self.now) {
                AuthorityAction::Wait => {}
                AuthorityAction::Poll => {
                    self.instances[index].keeper.record_poll(self.now);
                    self.poll_all(index);
                }
                AuthorityAction::Read => self.call_store(index, None),
                AuthorityAction::Write(record) => {
                    let version = instance.authority_version;
                    self.call_store(index, Some((version, record)));
                }
            }
        }
        let instance = &mut self.instances[index];
        if let Some((term, confirmed_at)) = instance.keeper.confirmation() {
            instance.authority.observe(term, confirmed_at, confirmed_at);
        }
    }

    /// Sends a call that takes up to 100 ms, and longer than its timeout at 2 % of the calls.
    fn call_store(&mut self, instance: usize, write: Option<(Option<u64>, AuthorityRecord)>) {
        let random = &mut self.store.random;
        let mut delay = || {
            let max_ms = if random.random_bool(0.02) { 600 } else { 50 };
            Duration::from_millis(random.random_range(1..max_ms))
        };
        let execute_at = self.now + delay();
        let respond_at = execute_at + delay();
        let (sent_at, executed, response) = (self.now, false, None);
        let call = SimCall { instance, write, sent_at, execute_at, respond_at, executed, response };
        self.store.calls.push(call);
    }

    fn poll_all(&mut self, index: usize) {
        let vote = |other: &usize| {
            let latest = self.instances[*other].authority.latest();
            let known = latest.map(|(term, confirmed_at)| (term.sequence, confirmed_at));
            self.has_joined(*other)
                && self.is_linked(index, *other)
                && self.instances[index].keeper.counts_vote(known, self.now)
        };
        let votes = (0..self.instances.len()).filter(vote).count();
        if votes * 2 > self.instances.len() + 2 {
            let now = self.now;
            self.instances[index].keeper.record_majority(now);
        }
    }

    fn transfer_confirmations(&mut self) {
        for to in 0..self.instances.len() {
            for from in 0..self.instances.len() {
                let arrives = self.is_running(from) && self.is_running(to);
                if from == to || !arrives || !self.is_linked(from, to) {
                    continue;
                }
                let latest = self.instances[from].authority.latest();
                if let Some((term, confirmed_at)) =
                    latest.map(|(term, confirmed_at)| (term.clone(), confirmed_at))
                {
                    self.instances[to].authority.observe(&term, confirmed_at, self.now);
                }
            }
        }
    }
}
