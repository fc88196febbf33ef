//! Operators' switch orders for one group in the platform.

use rudder_core::{ServiceName, SwitchOrder};
use rudder_store::{ObjectKind, ObjectVersion, PlatformStore, StoreError};
use std::sync::Arc;

/// An order as read, with the object version needed to remove it.
#[derive(Clone, Debug)]
pub(super) struct PendingOrder {
    pub(super) order: SwitchOrder,
    pub(super) version: ObjectVersion,
}

/// Reads the order for `service`. A malformed order is removed, so that it does not block later
/// ones.
pub(super) async fn read_order(
    store: &Arc<dyn PlatformStore>,
    service: &ServiceName,
) -> Result<Option<PendingOrder>, StoreError> {
    let Some(object) = store.get(ObjectKind::SwitchOrder, service.as_str()).await? else {
        return Ok(None);
    };
    match serde_json::from_value(object.spec) {
        Ok(order) => Ok(Some(PendingOrder { order, version: object.version })),
        Err(error) => {
            log::warn!(
                target: "rudder::succession", service:% = service, error:% = error;
                "malformed switch order removed"
            );
            store.delete(ObjectKind::SwitchOrder, service.as_str(), &object.version).await?;
            Ok(None)
        }
    }
}

/// Removes an order that was carried out or rejected.
pub(super) async fn remove_order(
    store: &Arc<dyn PlatformStore>,
    service: &ServiceName,
    version: &ObjectVersion,
) {
    let removal = store.delete(ObjectKind::SwitchOrder, service.as_str(), version).await;
    if let Err(error) = removal {
        log::warn!(
            target: "rudder::succession", service:% = service, error:% = error;
            "switch order could not be removed"
        );
    }
}
