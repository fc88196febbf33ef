//! Fixtures shared by the tests of several modules.

use crate::group::{MemberEntry, MemberState};
use crate::identity::InstanceIdentity;
use crate::interfaces::{
    LinkError, MemberDialer, MemberLink, MemberTarget, PromotionCall, PromotionError,
    PromotionOrder,
};
use crate::statement::StatementReply;
use async_trait::async_trait;
use rudder_core::{AccountName, MemberRole, MemberStatus};
use rudder_decisions::{LimitBounds, MachineLimits};
use rudder_store::{
    InstanceEntry, ObjectKind, ObjectVersion, PlatformStore, StoreError, StoredObject,
};
use serde_json::Value;
use std::time::Duration;

/// Time for which a leaving member still accepts statements.
const MEMBER_DRAIN: Duration = Duration::from_secs(7);

/// Returns the identity of an instance in the failure domain `north`.
pub(crate) fn identity(name: &str) -> InstanceIdentity {
    InstanceIdentity {
        name: name.parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        region: "north".to_owned(),
        regions: Vec::new(),
        peer_address: ([127, 0, 0, 1], 0).into(),
        member_drain: MEMBER_DRAIN,
        key_validity: None,
        limit_bounds: LimitBounds::default(),
        capacity: None,
        machine: MachineLimits::default(),
    }
}

/// Store whose calls all fail with [`StoreError::Unavailable`].
pub(crate) struct UnavailableStore;

#[async_trait]
impl PlatformStore for UnavailableStore {
    async fn get(
        &self,
        _kind: ObjectKind,
        _name: &str,
    ) -> Result<Option<StoredObject>, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn list(&self, _kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn put(
        &self,
        _kind: ObjectKind,
        _name: &str,
        _expected: Option<&ObjectVersion>,
        _spec: Value,
    ) -> Result<StoredObject, StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn delete(
        &self,
        _kind: ObjectKind,
        _name: &str,
        _expected: &ObjectVersion,
    ) -> Result<(), StoreError> {
        Err(StoreError::Unavailable)
    }

    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        Err(StoreError::Unavailable)
    }
}

/// Returns the entry of a ready replica of the service `records`.
pub(crate) fn member_entry(name: &str) -> MemberEntry {
    MemberEntry {
        target: MemberTarget {
            service: "records".parse().expect("a name"),
            member: name.parse().expect("a name"),
            address: ([127, 0, 0, 1], 1).into(),
        },
        domain: "north".parse().expect("a name"),
        region: "north".to_owned(),
        state: MemberState::Ready,
        role: MemberRole::Replica,
        started_at_ms: 1,
    }
}

/// Dialer that reaches no member.
pub(crate) struct UnreachableDialer;

#[async_trait]
impl MemberDialer for UnreachableDialer {
    async fn dial(
        &self,
        _target: &MemberTarget,
        _account: Option<&AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError> {
        Err(LinkError::Silent)
    }

    fn read_status(&self, _reply: &StatementReply) -> Option<MemberStatus> {
        None
    }
}

/// Promotion call that rejects every order.
pub(crate) struct RejectingPromotion;

#[async_trait]
impl PromotionCall for RejectingPromotion {
    async fn promote(&self, _order: &PromotionOrder) -> Result<(), PromotionError> {
        Err(PromotionError::Rejected)
    }
}
