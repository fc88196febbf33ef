//! `switch`: order a planned switch of a service's primary.

use crate::error::ControlError;
use crate::options::SwitchOptions;
use crate::output::CommandReport;
use crate::platform::accepted_member;
use rudder_core::{MemberName, ServiceName, SwitchOrder, WriterMark};
use rudder_platform::{KubeStore, ObjectKind, PlatformStore, StoreError};
use serde::Serialize;
use std::fmt;

#[derive(Serialize)]
struct SwitchReport {
    service: ServiceName,
    target: MemberName,
}

impl fmt::Display for SwitchReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ordered: {} switches to {}; see its status", self.service, self.target)
    }
}

pub(crate) async fn switch(options: &SwitchOptions) -> Result<CommandReport, ControlError> {
    let store = KubeStore::connect(options.platform.clone())?;
    accepted_member(&store, &options.service, &options.target).await?;
    let order = SwitchOrder { target: options.target.clone(), mark: WriterMark::random() };
    place_order(&store, &options.service, &order).await?;
    let report = SwitchReport { service: options.service.clone(), target: order.target };
    Ok(CommandReport::done(&report))
}

async fn place_order(
    store: &KubeStore,
    service: &ServiceName,
    order: &SwitchOrder,
) -> Result<(), ControlError> {
    let spec = serde_json::to_value(order).expect("names are always JSON");
    match store.put(ObjectKind::SwitchOrder, service.as_str(), None, spec).await {
        Ok(_) => Ok(()),
        Err(StoreError::Conflict) => Err(ControlError::OrderPending(service.clone())),
        Err(StoreError::Unresolved) => read_back(store, service, order).await,
        Err(error) => Err(error.into()),
    }
}

/// Guards against a second order for one wish: the answer was lost and the order may stand. The mark
/// tells it from another operator's. An order that is gone may have been carried out already.
async fn read_back(
    store: &KubeStore,
    service: &ServiceName,
    order: &SwitchOrder,
) -> Result<(), ControlError> {
    let found = store.get(ObjectKind::SwitchOrder, service.as_str()).await;
    let standing = match found {
        Ok(Some(object)) => serde_json::from_value::<SwitchOrder>(object.spec).ok(),
        Ok(None) | Err(_) => None,
    };
    match standing {
        Some(standing) if standing.mark == order.mark => Ok(()),
        _ => Err(ControlError::OrderUnknown),
    }
}
