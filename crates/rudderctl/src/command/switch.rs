//! `switch`: orders a planned switch of a service's primary.
//!
//! The service's keepers, the instances that monitor its group and change its primary, carry out
//! the order.

use crate::error::CommandError;
use crate::options::SwitchOptions;
use crate::output::CommandReport;
use crate::platform::accepted_member;
use rudder_core::{MemberName, ServiceName, SuccessionGrant, SwitchOrder, WriterMark};
use rudder_store::{KubeStore, ObjectKind, PlatformStore, StoreError};
use serde::Serialize;
use std::fmt;
use std::time::{Duration, Instant};

/// Interval between polls for the outcome; a planned switch takes well under a second.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct SwitchReport {
    service: ServiceName,
    target: MemberName,
    carried_out: bool,
}

impl fmt::Display for SwitchReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { service, target, .. } = self;
        match self.carried_out {
            true => write!(f, "{service} switched to {target}"),
            false => write!(f, "ordered: {service} switches to {target}; see its status"),
        }
    }
}

pub(crate) async fn switch(options: &SwitchOptions) -> Result<CommandReport, CommandError> {
    let store = KubeStore::connect(options.platform.clone())?;
    accepted_member(&store, &options.service, &options.target).await?;
    let order = SwitchOrder { target: options.target.clone(), mark: WriterMark::random() };
    place_order(&store, &options.service, &order).await?;
    let carried_out = !options.wait.is_zero();
    if carried_out {
        await_switch(&store, options, &order).await?;
    }
    let service = options.service.clone();
    let report = SwitchReport { service, target: order.target, carried_out };
    Ok(CommandReport::done(&report))
}

/// Waits until the platform records the order's target as primary.
///
/// Keepers remove an order that was carried out or rejected and record the new primary shortly
/// afterwards. Failed calls are retried, so that an outage does not end the wait.
async fn await_switch(
    store: &KubeStore,
    options: &SwitchOptions,
    order: &SwitchOrder,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + options.wait;
    loop {
        let current_order = read_order(store, &options.service).await;
        let primary = read_primary(store, &options.service).await;
        if primary.as_ref().is_ok_and(|primary| primary.as_ref() == Some(&order.target)) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let is_removed =
                current_order?.is_none_or(|current_order| current_order.mark != order.mark);
            let service = options.service.clone();
            let primary = primary?.map_or_else(|| "nobody".to_owned(), |name| name.to_string());
            return Err(match is_removed {
                true => CommandError::NotSwitched { service, primary },
                false => CommandError::OrderUnfinished(service),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn read_order(
    store: &KubeStore,
    service: &ServiceName,
) -> Result<Option<SwitchOrder>, StoreError> {
    let object = store.get(ObjectKind::SwitchOrder, service.as_str()).await?;
    Ok(object.and_then(|object| serde_json::from_value(object.spec).ok()))
}

/// Reads the primary that the group's keepers recorded last.
async fn read_primary(
    store: &KubeStore,
    service: &ServiceName,
) -> Result<Option<MemberName>, StoreError> {
    let object = store.get(ObjectKind::SuccessionGrant, service.as_str()).await?;
    let grant = object.and_then(|object| serde_json::from_value(object.spec).ok());
    Ok(grant.and_then(|grant: SuccessionGrant| grant.primary().map(|(name, _)| name.clone())))
}

async fn place_order(
    store: &KubeStore,
    service: &ServiceName,
    order: &SwitchOrder,
) -> Result<(), CommandError> {
    let spec = serde_json::to_value(order).expect("names are always JSON");
    match store.put(ObjectKind::SwitchOrder, service.as_str(), None, spec).await {
        Ok(_) => Ok(()),
        Err(StoreError::Conflict) => Err(CommandError::SwitchInProgress(service.clone())),
        Err(StoreError::OutcomeUnknown) => confirm_order(store, service, order).await,
        Err(error) => Err(error.into()),
    }
}

/// Checks after a lost response whether the order was placed, so that the operator does not place
/// it twice. The mark distinguishes it from another operator's order. If it is missing, the outcome
/// is unknown, because it may have been carried out and removed already.
async fn confirm_order(
    store: &KubeStore,
    service: &ServiceName,
    order: &SwitchOrder,
) -> Result<(), CommandError> {
    match read_order(store, service).await {
        Ok(Some(current_order)) if current_order.mark == order.mark => Ok(()),
        _ => Err(CommandError::OrderUnknown),
    }
}
