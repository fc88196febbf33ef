//! Moves the primary off a member that operators drain: a draining endpoint must get no new work,
//! and that includes writes.

use crate::group::GroupState;
use rudder_core::{MemberName, SwitchOrder, WriterMark};
use rudder_decisions::MemberHealth;
use rudder_store::{ObjectKind, PlatformStore, StoreError};
use std::sync::Arc;

/// Returns the member that replaces a draining primary: the ready one with the most advanced log.
/// Returns none if the primary is not draining.
pub(super) fn successor_of(group: &GroupState) -> Option<MemberName> {
    let primary = group.primary()?;
    if !group.members[primary.index].settings.draining {
        return None;
    }
    let is_ready = |index: &usize| group.members[*index].health() == MemberHealth::Ready;
    let received = |index: &usize| {
        let status = group.reports.status_of(group.members[*index].name());
        status.map(|status| status.received)
    };
    let index = (0..group.members.len()).filter(is_ready).max_by_key(received)?;
    Some(group.members[index].name().clone())
}

/// Stores a switch order in the platform, where the group's first-ranked keeper reads it. An
/// existing order is not replaced.
pub(super) async fn order_switch(
    store: Arc<dyn PlatformStore>,
    group: Arc<GroupState>,
    target: MemberName,
) {
    let service = &group.service.name;
    let order = SwitchOrder { target: target.clone(), mark: WriterMark::random() };
    let Ok(spec) = serde_json::to_value(&order) else { return };
    match store.put(ObjectKind::SwitchOrder, service.as_str(), None, spec).await {
        Ok(_) => log::info!(
            target: "rudder::placement", service:% = service, member:% = target,
            reason = "primary_draining"; "switch of primary ordered"
        ),
        Err(StoreError::Conflict) => {}
        Err(error) => log::warn!(
            target: "rudder::placement", service:% = service, reason:% = error;
            "switch of primary could not be ordered"
        ),
    }
}
