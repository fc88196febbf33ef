//! The keeper's platform calls outside a promotion. They run in tasks of their own, so that a slow
//! platform does not delay probes.

use super::decision::DecisionReason;
use super::grant_client::GrantClientError;
use super::group_keeper::GroupKeeper;
use super::orders::{PendingOrder, read_order, remove_order};
use super::switch::PendingSwitch;
use super::timeouts::{
    GRANT_REFRESH_INTERVAL, GRANT_RETRY_INTERVAL, ORDER_POLL_INTERVAL, PLATFORM_CALL_TIMEOUT,
    PLATFORM_CALLS_MAX,
};
use rudder_core::{KeeperRun, LogTerm, SuccessionGrant, SwitchOrder};
use rudder_store::ObjectVersion;
use tokio::time::Instant;

/// Result of a platform call.
pub(super) enum PlatformResult {
    Grant(Result<SuccessionGrant, GrantClientError>),
    Order(Option<PendingOrder>),
    Ignored,
}

impl GroupKeeper {
    pub(super) fn take_call_result(&mut self, result: PlatformResult) {
        match result {
            PlatformResult::Grant(Ok(grant)) => {
                self.reserved_terms.update(&grant);
                self.recorded_term = grant.primary().map_or(LogTerm(0), |(_, term)| term);
            }
            PlatformResult::Grant(Err(error)) => {
                log::debug!(
                    target: "rudder::succession",
                    service:% = self.config.service, error:% = error;
                    "succession grant not refreshed"
                );
            }
            PlatformResult::Order(Some(order)) if self.switch.is_none() => self.accept_order(order),
            PlatformResult::Order(_) | PlatformResult::Ignored => {}
        }
    }

    fn accept_order(&mut self, order: PendingOrder) {
        let PendingOrder { order: SwitchOrder { target, mark }, version } = &order;
        // An order whose removal failed is read again, possibly after a failover has moved the
        // primary away from the target. It must not be carried out twice.
        if self.last_order.as_ref() == Some(mark) {
            self.spawn_order_removal(version.clone());
            return;
        }
        self.record_decision(DecisionReason::SwitchOrdered, self.accepted_term, Some(target));
        self.last_order = Some(mark.clone());
        self.switch = Some(PendingSwitch::new(order));
    }

    pub(super) fn call_platform(&mut self) {
        if self.platform_calls.len() >= PLATFORM_CALLS_MAX {
            return;
        }
        let now = Instant::now();
        // A reservation made before any member has reported would be for a term that the members
        // reject, and would cost the platform a second write.
        let has_reports = self.accepted_term > LogTerm(0);
        if has_reports && now >= self.grant_due_at {
            let is_usable = self.reserved_terms.is_usable(self.accepted_term);
            self.grant_due_at =
                now + if is_usable { GRANT_REFRESH_INTERVAL } else { GRANT_RETRY_INTERVAL };
            self.spawn_reservation();
        }
        let has_first_rank = self.ranking.rank_of(&self.config.instance) == Some(0);
        if has_first_rank && self.switch.is_none() && now >= self.order_due_at {
            self.order_due_at = now + ORDER_POLL_INTERVAL;
            let (store, service) = (self.config.store.clone(), self.config.service.clone());
            self.spawn_call(async move {
                PlatformResult::Order(read_order(&store, &service).await.unwrap_or_default())
            });
        }
    }

    /// Reserves a term for this run in the platform, and records a newly confirmed primary there.
    fn spawn_reservation(&mut self) {
        let client = self.client.clone();
        let run = KeeperRun {
            instance: self.config.instance.clone(),
            incarnation: self.reserved_terms.incarnation().clone(),
        };
        let keepers = self.ranking.names();
        let accepted = self.accepted_term;
        let view = self.view.borrow().clone();
        let term = view.term;
        let unrecorded = view.primary.clone().filter(|_| term > self.recorded_term);
        self.spawn_call(async move {
            if let Some(primary) = unrecorded
                && let Err(error) = client.record_primary(&primary, term).await
            {
                return PlatformResult::Grant(Err(error));
            }
            PlatformResult::Grant(client.reserve_terms(&run, &keepers, accepted).await)
        });
    }

    /// Removes an order that was carried out or rejected.
    pub(super) fn spawn_order_removal(&mut self, version: ObjectVersion) {
        let (store, service) = (self.config.store.clone(), self.config.service.clone());
        self.spawn_call(async move {
            remove_order(&store, &service, &version).await;
            PlatformResult::Ignored
        });
    }

    fn spawn_call(&mut self, call: impl Future<Output = PlatformResult> + Send + 'static) {
        self.platform_calls.spawn(async move {
            let response = tokio::time::timeout(PLATFORM_CALL_TIMEOUT, call).await;
            response.unwrap_or(PlatformResult::Ignored)
        });
    }
}
