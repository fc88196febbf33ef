//! Store with one record, and members that reply without a network.

use crate::engine::ProxyEngine;
use crate::fixtures::{identity, member_entry};
use crate::group::{MemberEntry, MemberState};
use crate::identity::{EngineDependencies, InstanceIdentity};
use crate::interfaces::{
    LinkError, MemberDialer, MemberLink, MemberTarget, PromotionCall, PromotionError,
    PromotionOrder,
};
use crate::lead::{LeadHistory, LeadPhase, LeadRecord, LeaderEpoch, StoredRecord};
use crate::statement::{MemberCommand, StatementReply, TransactionState};
use async_trait::async_trait;
use rudder_core::{
    AccountName, LogPosition, LogStamp, LogTerm, MemberName, MemberRole, MemberStatus,
};
use rudder_store::{
    InstanceEntry, ObjectKind, ObjectVersion, PlatformStore, StoreError, StoredObject,
};
use serde_json::Value;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Returns the first record of a service, whose primary is the member `a`.
pub(super) fn first_record() -> LeadRecord {
    let primary = "a".parse().expect("a name");
    let phase = LeadPhase::Settled { primary, term: LogTerm(1), base: None };
    LeadRecord { epoch: LeaderEpoch(1), mark: "m1".to_owned(), phase, orders: Vec::new() }
}

/// Outcome of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The write takes effect and is acknowledged.
    Done,
    /// The write is rejected.
    Refused,
    /// The write does not take effect, and there is no response.
    Lost,
    /// The write is rejected, as another one has just rewritten the same version of the record.
    Overtaken,
}

/// Store that holds one record.
pub(super) struct RecordStore {
    record: Mutex<(u32, Value)>,
    /// Outcomes of the next writes, used in rotation.
    outcomes: Vec<WriteOutcome>,
    writes: AtomicU32,
}

impl RecordStore {
    pub(super) fn new(record: &LeadRecord, outcomes: &[WriteOutcome]) -> Arc<Self> {
        Self::with_history(&StoredRecord::new(record.clone(), LeadHistory::default()), outcomes)
    }

    /// Returns a store whose record tells of earlier primaries.
    pub(super) fn with_history(record: &StoredRecord, outcomes: &[WriteOutcome]) -> Arc<Self> {
        let spec = serde_json::to_value(record).expect("a record is written");
        let record = Mutex::new((1, spec));
        Arc::new(Self { record, outcomes: outcomes.to_vec(), writes: AtomicU32::new(0) })
    }

    /// Returns a store without a record, in which one can be created.
    pub(super) fn empty() -> Arc<Self> {
        let outcomes = vec![WriteOutcome::Done];
        Arc::new(Self { record: Mutex::new((0, Value::Null)), outcomes, writes: AtomicU32::new(0) })
    }

    /// Returns the number of attempted writes.
    pub(super) fn write_count(&self) -> u32 {
        self.writes.load(Ordering::Relaxed)
    }

    /// Returns what the current record tells of earlier primaries.
    pub(super) fn history(&self) -> LeadHistory {
        let spec = self.record.lock().expect("no holder panics").1.clone();
        let stored: StoredRecord = serde_json::from_value(spec).expect("a record is read");
        stored.history()
    }

    /// Returns the current record.
    pub(super) fn record(&self) -> LeadRecord {
        let spec = self.record.lock().expect("no holder panics").1.clone();
        serde_json::from_value(spec).expect("a record is read")
    }
}

#[async_trait]
impl PlatformStore for RecordStore {
    async fn get(&self, _kind: ObjectKind, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let (version, spec) = self.record.lock().expect("no holder panics").clone();
        let version = ObjectVersion(version.to_string());
        Ok(Some(StoredObject { name: name.to_owned(), version, spec }))
    }

    async fn list(&self, _kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        Ok(Vec::new())
    }

    async fn put(
        &self,
        _kind: ObjectKind,
        name: &str,
        expected: Option<&ObjectVersion>,
        spec: Value,
    ) -> Result<StoredObject, StoreError> {
        let turn = self.writes.fetch_add(1, Ordering::Relaxed) as usize;
        match self.outcomes[turn % self.outcomes.len()] {
            WriteOutcome::Done => {}
            WriteOutcome::Refused => return Err(StoreError::Unavailable),
            WriteOutcome::Lost => return Err(StoreError::OutcomeUnknown),
            WriteOutcome::Overtaken => self.record.lock().expect("no holder panics").0 += 1,
        }
        let mut record = self.record.lock().expect("no holder panics");
        let known = (record.0 > 0).then(|| record.0.to_string());
        if expected.map(|version| &version.0) != known.as_ref() {
            return Err(StoreError::Conflict);
        }
        *record = (record.0 + 1, spec.clone());
        let version = ObjectVersion(record.0.to_string());
        Ok(StoredObject { name: name.to_owned(), version, spec })
    }

    async fn delete(
        &self,
        _kind: ObjectKind,
        _name: &str,
        _expected: &ObjectVersion,
    ) -> Result<(), StoreError> {
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        Ok(Vec::new())
    }
}

/// Members that can be promoted. The first one is the primary; the others receive one entry of its
/// log with each status request.
pub(super) struct FakeMembers {
    /// Sorted by name.
    members: Mutex<Vec<(MemberName, MemberStatus)>>,
    /// Promoted members, each with the end of its log at that time.
    promoted: Mutex<Vec<(MemberName, LogStamp)>>,
    dials: AtomicU32,
    /// Member whose connections reply only once.
    silenced: Mutex<Option<MemberName>>,
    /// Members that cannot be reached.
    down: Mutex<Vec<MemberName>>,
    /// Replicas that receive nothing.
    deaf: Mutex<Vec<MemberName>>,
    /// Members whose replies take this time.
    slow: Mutex<Vec<(MemberName, Duration)>>,
    /// Time between a promotion order and its effect.
    promotion_time: Duration,
    /// Time for which the next order is held up on its way.
    held_up: Mutex<Option<Duration>>,
    orders: AtomicU32,
}

impl FakeMembers {
    /// Returns members with logs of these lengths in term 1.
    pub(super) fn new(logs: &[(&str, u64)]) -> Arc<Self> {
        Self::with_promotion_time(logs, Duration::ZERO)
    }

    /// Returns members that are promoted some time after they are ordered to be.
    pub(super) fn with_promotion_time(logs: &[(&str, u64)], promotion_time: Duration) -> Arc<Self> {
        let status = |index: usize, length: u64| {
            let role = if index == 0 { MemberRole::Primary } else { MemberRole::Replica };
            let at = stamp(1, length);
            MemberStatus { role, accepted: LogTerm(1), received: at, applied: at }
        };
        let members = logs.iter().enumerate().map(|(index, (name, length))| {
            (name.parse().expect("a member's name"), status(index, *length))
        });
        let members = Mutex::new(members.collect());
        Arc::new(Self {
            members,
            promoted: Mutex::default(),
            dials: AtomicU32::new(0),
            silenced: Mutex::default(),
            down: Mutex::default(),
            deaf: Mutex::default(),
            slow: Mutex::default(),
            promotion_time,
            held_up: Mutex::default(),
            orders: AtomicU32::new(0),
        })
    }

    /// Sets what a member reports of itself.
    pub(super) fn set_status(&self, member: &str, status: MemberStatus) {
        let member: MemberName = member.parse().expect("a member's name");
        let mut members = self.members.lock().expect("no holder panics");
        let index = members.binary_search_by(|(known, _)| known.cmp(&member));
        members[index.expect("a known member")].1 = status;
    }

    /// Sets the replicas that receive nothing.
    pub(super) fn set_deaf(&self, members: &[&str]) {
        let members = members.iter().map(|member| member.parse().expect("a member's name"));
        *self.deaf.lock().expect("no holder panics") = members.collect();
    }

    /// Lets each reply of a member take this time.
    pub(super) fn slow_down(&self, member: &str, time: Duration) {
        let member = member.parse().expect("a member's name");
        self.slow.lock().expect("no holder panics").push((member, time));
    }

    fn reply_time(&self, member: &MemberName) -> Duration {
        let slow = self.slow.lock().expect("no holder panics");
        let found = slow.iter().find(|(known, _)| known == member);
        found.map_or(Duration::ZERO, |(_, time)| *time)
    }

    /// Sets whether a member can be reached.
    pub(super) fn set_down(&self, member: &str, is_down: bool) {
        let member = member.parse().expect("a member's name");
        let mut down = self.down.lock().expect("no holder panics");
        down.retain(|known| *known != member);
        if is_down {
            down.push(member);
        }
    }

    /// Lets the next order reach the platform only after this time, and gives it no answer.
    pub(super) fn hold_next_order_up(&self, time: Duration) {
        *self.held_up.lock().expect("no holder panics") = Some(time);
    }

    fn is_down(&self, member: &MemberName) -> bool {
        self.down.lock().expect("no holder panics").contains(member)
    }

    /// Returns the number of accepted promotion orders.
    pub(super) fn order_count(&self) -> u32 {
        self.orders.load(Ordering::Relaxed)
    }

    /// Returns the primary of the newest term.
    pub(super) fn leader(&self) -> MemberName {
        let members = self.members.lock().expect("no holder panics");
        let primaries = members.iter().filter(|(_, status)| status.role == MemberRole::Primary);
        let newest = primaries.max_by_key(|(_, status)| status.accepted).expect("a primary");
        newest.0.clone()
    }

    /// Promotes a member, unless it cannot be reached or is the newest primary already.
    fn promote(&self, name: &MemberName) {
        if self.is_down(name) || self.leader() == *name {
            return;
        }
        let mut members = self.members.lock().expect("no holder panics");
        let newest = members.iter().map(|(_, status)| status.accepted).max().expect("a member");
        let index = members.binary_search_by(|(known, _)| known.cmp(name));
        let status = &mut members[index.expect("a known member")].1;
        status.role = MemberRole::Primary;
        status.accepted = LogTerm(newest.0 + 1);
        let promoted = (name.clone(), status.received);
        self.promoted.lock().expect("no holder panics").push(promoted);
    }

    /// Returns the promoted members so far.
    pub(super) fn promoted(&self) -> Vec<(MemberName, LogStamp)> {
        self.promoted.lock().expect("no holder panics").clone()
    }

    /// Lets each connection to a member reply only once from now on.
    pub(super) fn silence_after_first_reply(&self, member: &str) {
        let member = member.parse().expect("a member's name");
        *self.silenced.lock().expect("no holder panics") = Some(member);
    }

    fn is_silenced(&self, member: &MemberName) -> bool {
        self.silenced.lock().expect("no holder panics").as_ref() == Some(member)
    }

    /// Returns the number of opened connections.
    pub(super) fn dials(&self) -> u32 {
        self.dials.load(Ordering::Relaxed)
    }

    /// Returns the members' entries. The first member is leaving.
    pub(super) fn entries(&self) -> Vec<MemberEntry> {
        let mut entries = self.ready_entries();
        entries[0].state = MemberState::Draining;
        entries
    }

    /// Returns the members' entries, none of which is leaving.
    pub(super) fn ready_entries(&self) -> Vec<MemberEntry> {
        let members = self.members.lock().expect("no holder panics");
        let entry = |(name, status): &(MemberName, MemberStatus)| MemberEntry {
            state: MemberState::Ready,
            role: status.role,
            ..member_entry(name.as_str())
        };
        members.iter().map(entry).collect()
    }

    fn next_status(&self, name: &MemberName) -> MemberStatus {
        let mut members = self.members.lock().expect("no holder panics");
        let last = members[0].1.received;
        let index = members.binary_search_by(|(known, _)| known.cmp(name));
        let status = &mut members[index.expect("a known member")].1;
        let reported = *status;
        let is_deaf = self.deaf.lock().expect("no holder panics").contains(name);
        if status.role == MemberRole::Replica && status.received < last && !is_deaf {
            let next = LogPosition(status.received.position.0 + 1);
            status.received = LogStamp { position: next, ..status.received };
        }
        reported
    }
}

/// Returns a log position.
pub(super) fn stamp(term: u64, position: u64) -> LogStamp {
    LogStamp::new(term, position)
}

/// Connection on which a member's status can be requested.
struct StatusLink {
    group: Arc<FakeMembers>,
    member: MemberName,
    asked: u32,
}

#[async_trait]
impl MemberLink for StatusLink {
    async fn send(&mut self, _commands: &[MemberCommand]) -> Result<(), LinkError> {
        Ok(())
    }

    async fn receive(&mut self) -> Result<StatementReply, LinkError> {
        self.asked += 1;
        if self.asked > 1 && self.group.is_silenced(&self.member) {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.group.reply_time(&self.member)).await;
        let rows = vec![status_row(&self.group.next_status(&self.member))];
        Ok(StatementReply { rows, ..StatementReply::without_member(TransactionState::Idle) })
    }
}

/// Dialer and promotion call for the members of a group, or for none.
pub(super) struct FakeDependencies(pub(super) Option<Arc<FakeMembers>>);

#[async_trait]
impl MemberDialer for FakeDependencies {
    async fn dial(
        &self,
        target: &MemberTarget,
        _account: Option<&AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError> {
        let group = self.0.clone().ok_or(LinkError::Silent)?;
        if group.is_down(&target.member) {
            return Err(LinkError::Silent);
        }
        group.dials.fetch_add(1, Ordering::Relaxed);
        Ok(Box::new(StatusLink { group, member: target.member.clone(), asked: 0 }))
    }

    fn read_status(&self, reply: &StatementReply) -> Option<MemberStatus> {
        read_row(reply.rows.first()?)
    }
}

#[async_trait]
impl PromotionCall for FakeDependencies {
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromotionError> {
        let group = self.0.clone().ok_or(PromotionError::Rejected)?;
        let held_up = group.held_up.lock().expect("no holder panics").take();
        if let Some(time) = held_up {
            let member = order.member.clone();
            tokio::spawn(async move {
                tokio::time::sleep(time).await;
                group.promote(&member);
            });
            return Err(PromotionError::Unanswered);
        }
        if group.is_down(&order.member) {
            return Err(PromotionError::Rejected);
        }
        group.orders.fetch_add(1, Ordering::Relaxed);
        if group.promotion_time.is_zero() {
            group.promote(&order.member);
            return Ok(());
        }
        let member = order.member.clone();
        tokio::spawn(async move {
            tokio::time::sleep(group.promotion_time).await;
            group.promote(&member);
        });
        Ok(())
    }
}

fn status_row(status: &MemberStatus) -> String {
    let role = if status.role == MemberRole::Primary { "primary" } else { "replica" };
    let received = status.received;
    format!("{role} {} {} {}", status.accepted.0, received.term.0, received.position.0)
}

fn read_row(row: &str) -> Option<MemberStatus> {
    let fields: Vec<&str> = row.split(' ').collect();
    let [role, accepted, term, position] = fields[..] else { return None };
    let role = if role == "primary" { MemberRole::Primary } else { MemberRole::Replica };
    let received = stamp(term.parse().ok()?, position.parse().ok()?);
    let accepted = LogTerm(accepted.parse().ok()?);
    Some(MemberStatus { role, accepted, received, applied: received })
}

/// Returns an instance without peers.
pub(super) fn engine(
    store: &Arc<RecordStore>,
    members: Option<Arc<FakeMembers>>,
) -> Arc<ProxyEngine> {
    engine_of(store, members, identity("own"))
}

/// Returns an instance without peers, with a given time for which leaving members may be sent
/// statements.
pub(super) fn engine_with_drain(
    store: &Arc<RecordStore>,
    members: Option<Arc<FakeMembers>>,
    member_drain: Duration,
) -> Arc<ProxyEngine> {
    let identity = InstanceIdentity { member_drain, ..identity("own") };
    engine_of(store, members, identity)
}

/// Returns an instance without members and peers, with a given name.
pub(super) fn engine_named(store: &Arc<RecordStore>, name: &str) -> Arc<ProxyEngine> {
    engine_of(store, None, identity(name))
}

pub(super) fn engine_of(
    store: &Arc<RecordStore>,
    members: Option<Arc<FakeMembers>>,
    identity: InstanceIdentity,
) -> Arc<ProxyEngine> {
    let dependencies = Arc::new(FakeDependencies(members));
    let dependencies = EngineDependencies {
        dialer: Arc::clone(&dependencies) as _,
        promotion: dependencies,
        store: Arc::clone(store) as _,
    };
    ProxyEngine::new(identity, dependencies)
}
