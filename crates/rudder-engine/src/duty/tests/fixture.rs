//! A store with one record, and members that answer questions without a network.

use crate::border::{
    LinkError, MemberDialer, MemberLink, MemberTarget, PromotionCall, PromotionError,
    PromotionOrder,
};
use crate::engine::ProxyEngine;
use crate::fixtures::{identity, member_entry};
use crate::group::{MemberEntry, MemberState};
use crate::identity::{EngineBorders, InstanceIdentity};
use crate::lead::{LeadPhase, LeadRecord, LeaderEpoch};
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

/// The first record of a service, whose primary is the member `a`.
pub(super) fn first_record() -> LeadRecord {
    let primary = "a".parse().expect("a name");
    let phase = LeadPhase::Settled { primary, term: LogTerm(1), base: None };
    LeadRecord { epoch: LeaderEpoch(1), mark: "m1".to_owned(), phase }
}

/// What becomes of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// It is done and answered.
    Done,
    /// It is refused.
    Refused,
    /// It is not done, and there is no answer either.
    Lost,
}

/// A store that holds one record.
pub(super) struct RecordStore {
    record: Mutex<(u32, Value)>,
    /// What becomes of the writes to come, by turns.
    outcomes: Vec<WriteOutcome>,
    writes: AtomicU32,
}

impl RecordStore {
    pub(super) fn new(record: &LeadRecord, outcomes: &[WriteOutcome]) -> Arc<Self> {
        let spec = serde_json::to_value(record).expect("a record is written");
        let record = Mutex::new((1, spec));
        Arc::new(Self { record, outcomes: outcomes.to_vec(), writes: AtomicU32::new(0) })
    }

    /// How many writes were tried.
    pub(super) fn write_count(&self) -> u32 {
        self.writes.load(Ordering::Relaxed)
    }

    /// The record as it is now.
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
            WriteOutcome::Lost => return Err(StoreError::Unresolved),
        }
        let mut record = self.record.lock().expect("no holder panics");
        if expected.is_none_or(|version| version.0 != record.0.to_string()) {
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

/// Members that take promotions: the first one leads, the others receive one entry of its log each
/// time that they are asked.
pub(super) struct FakeMembers {
    /// Sorted by name.
    members: Mutex<Vec<(MemberName, MemberStatus)>>,
    /// The orders to promote, each with how far the member's log went then.
    promoted: Mutex<Vec<(MemberName, LogStamp)>>,
    dials: AtomicU32,
    /// The member whose connections answer once only, and are silent from then on.
    silenced: Mutex<Option<MemberName>>,
}

impl FakeMembers {
    /// Members with logs of these lengths in term 1.
    pub(super) fn new(logs: &[(&str, u64)]) -> Arc<Self> {
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
        })
    }

    /// The orders to promote so far.
    pub(super) fn promoted(&self) -> Vec<(MemberName, LogStamp)> {
        self.promoted.lock().expect("no holder panics").clone()
    }

    /// From now on connections to this member answer once only.
    pub(super) fn silence_after_first_reply(&self, member: &str) {
        let member = member.parse().expect("a member's name");
        *self.silenced.lock().expect("no holder panics") = Some(member);
    }

    fn is_silenced(&self, member: &MemberName) -> bool {
        self.silenced.lock().expect("no holder panics").as_ref() == Some(member)
    }

    /// How many connections were opened.
    pub(super) fn dials(&self) -> u32 {
        self.dials.load(Ordering::Relaxed)
    }

    /// The members' entries; the first member is leaving.
    pub(super) fn entries(&self) -> Vec<MemberEntry> {
        let members = self.members.lock().expect("no holder panics");
        let entry = |(index, (name, status)): (usize, &(MemberName, MemberStatus))| MemberEntry {
            state: if index == 0 { MemberState::Draining } else { MemberState::Ready },
            role: status.role,
            ..member_entry(name.as_str())
        };
        members.iter().enumerate().map(entry).collect()
    }

    fn answer(&self, name: &MemberName) -> MemberStatus {
        let mut members = self.members.lock().expect("no holder panics");
        let last = members[0].1.received;
        let index = members.binary_search_by(|(known, _)| known.cmp(name));
        let status = &mut members[index.expect("a known member")].1;
        let answer = *status;
        if status.role == MemberRole::Replica && status.received < last {
            let next = LogPosition(status.received.position.0 + 1);
            status.received = LogStamp { position: next, ..status.received };
        }
        answer
    }
}

/// A position of a log.
pub(super) fn stamp(term: u64, position: u64) -> LogStamp {
    LogStamp::new(term, position)
}

/// A connection on which a member's status can be asked.
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
        let rows = vec![status_row(&self.group.answer(&self.member))];
        Ok(StatementReply { rows, ..StatementReply::local(TransactionState::Idle) })
    }
}

/// Reaches the members of a group, or nobody.
pub(super) struct FakeBorders(pub(super) Option<Arc<FakeMembers>>);

#[async_trait]
impl MemberDialer for FakeBorders {
    async fn dial(
        &self,
        target: &MemberTarget,
        _account: Option<&AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError> {
        let group = self.0.clone().ok_or(LinkError::Silent)?;
        group.dials.fetch_add(1, Ordering::Relaxed);
        Ok(Box::new(StatusLink { group, member: target.member.clone(), asked: 0 }))
    }

    fn read_status(&self, reply: &StatementReply) -> Option<MemberStatus> {
        read_row(reply.rows.first()?)
    }
}

#[async_trait]
impl PromotionCall for FakeBorders {
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromotionError> {
        let group = self.0.as_ref().ok_or(PromotionError::Rejected)?;
        let mut members = group.members.lock().expect("no holder panics");
        let index = members.binary_search_by(|(name, _)| name.cmp(&order.member));
        let status = &mut members[index.map_err(|_| PromotionError::Rejected)?].1;
        let promoted = (order.member.clone(), status.received);
        group.promoted.lock().expect("no holder panics").push(promoted);
        status.role = MemberRole::Primary;
        status.accepted = LogTerm(status.accepted.0 + 1);
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

/// An instance that has no peers.
pub(super) fn engine(
    store: &Arc<RecordStore>,
    members: Option<Arc<FakeMembers>>,
) -> Arc<ProxyEngine> {
    engine_of(store, members, identity("own"))
}

/// The same, with another time for which leaving members may be sent work.
pub(super) fn engine_with_drain(
    store: &Arc<RecordStore>,
    members: Option<Arc<FakeMembers>>,
    member_drain: Duration,
) -> Arc<ProxyEngine> {
    let identity = InstanceIdentity { member_drain, ..identity("own") };
    engine_of(store, members, identity)
}

/// The same with another name.
pub(super) fn engine_named(store: &Arc<RecordStore>, name: &str) -> Arc<ProxyEngine> {
    engine_of(store, None, identity(name))
}

fn engine_of(
    store: &Arc<RecordStore>,
    members: Option<Arc<FakeMembers>>,
    identity: InstanceIdentity,
) -> Arc<ProxyEngine> {
    let borders = Arc::new(FakeBorders(members));
    let borders = EngineBorders {
        dialer: Arc::clone(&borders) as _,
        promotion: borders,
        store: Arc::clone(store) as _,
    };
    ProxyEngine::new(identity, borders)
}
