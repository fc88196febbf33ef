//! Changes of primary against a store in memory.

use crate::border::{
    LinkError, MemberDialer, MemberLink, MemberTarget, PromotionCall, PromotionError,
    PromotionOrder,
};
use crate::duty::change::{ChangeError, JudgedChange, change_primary};
use crate::engine::{EngineBorders, InstanceIdentity, ProxyEngine};
use crate::lead::{ChangeCause, LeadPhase, LeadRecord, LeaderEpoch};
use crate::peers::PeerExchange;
use crate::statement::StatementReply;
use async_trait::async_trait;
use rudder_core::{MemberStatus, ServiceName};
use rudder_store::{
    InstanceEntry, ObjectKind, ObjectVersion, PlatformStore, StoreError, StoredObject,
};
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A store that holds one record and counts writes.
struct OneRecord {
    record: LeadRecord,
    writes: AtomicU32,
}

#[async_trait]
impl PlatformStore for OneRecord {
    async fn get(&self, _kind: ObjectKind, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let spec = serde_json::to_value(&self.record).expect("a record is written");
        let version = ObjectVersion("1".to_owned());
        Ok(Some(StoredObject { name: name.to_owned(), version, spec }))
    }

    async fn list(&self, _kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        Ok(Vec::new())
    }

    async fn put(
        &self,
        _kind: ObjectKind,
        _name: &str,
        _expected: Option<&ObjectVersion>,
        _spec: Value,
    ) -> Result<StoredObject, StoreError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        Err(StoreError::Unavailable)
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

struct Nobody;

#[async_trait]
impl MemberDialer for Nobody {
    async fn dial(&self, _target: &MemberTarget) -> Result<Box<dyn MemberLink>, LinkError> {
        Err(LinkError::Silent)
    }

    fn read_status(&self, _reply: &StatementReply) -> Option<MemberStatus> {
        None
    }
}

#[async_trait]
impl PromotionCall for Nobody {
    async fn promote(&self, _order: &PromotionOrder) -> Result<(), PromotionError> {
        Err(PromotionError::Rejected)
    }
}

fn changing(epoch: u64) -> LeadRecord {
    let holder = "other".parse().expect("a name");
    let phase = LeadPhase::Changing { holder, process: epoch, previous: None, planned: false };
    LeadRecord { epoch: LeaderEpoch(epoch), mark: format!("m{epoch}"), phase }
}

#[tokio::test]
async fn a_change_that_was_judged_on_an_older_record_is_not_begun() {
    // A process that was changing the primary was killed; its successor and another instance both
    // see it. The successor begins anew, and its announcement reaches the other one between its
    // judgement and its look at the store. If that one goes on, two instances promote in turn.
    let store = Arc::new(OneRecord { record: changing(3), writes: AtomicU32::new(0) });
    let identity = InstanceIdentity {
        name: "own".parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        region: "north".to_owned(),
        regions: Vec::new(),
        peer_address: ([127, 0, 0, 1], 0).into(),
    };
    let borders = EngineBorders {
        dialer: Arc::new(Nobody),
        promotion: Arc::new(Nobody),
        store: Arc::clone(&store) as _,
    };
    let engine = ProxyEngine::new(identity, borders);
    let exchange = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a free port");
    let service: ServiceName = "records".parse().expect("a name");
    let group = engine.group(&service);
    let judged =
        JudgedChange { cause: ChangeCause::Unfinished, epoch: LeaderEpoch(2), alone: true };
    engine.observe(&service, &changing(3), std::time::Duration::ZERO);

    let outcome = change_primary(&engine, &exchange, &group, judged).await;

    assert_eq!(outcome, Err(ChangeError::Overtaken));
    assert_eq!(store.writes.load(Ordering::Relaxed), 0);
}
