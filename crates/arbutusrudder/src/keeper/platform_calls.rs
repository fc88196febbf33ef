//! The keeper's calls to the platform outside a promotion. They run beside its task, so that a
//! slow platform does not delay a probe.

use super::bounds::{
    GRANT_REFRESH, GRANT_RETRY, ORDER_REFRESH, PLATFORM_CALL_BOUND, PLATFORM_CALLS_MAX,
};
use super::decision::DecisionReason;
use super::grant_client::GrantClientError;
use super::group_keeper::GroupKeeper;
use super::orders::{PendingOrder, read_order, remove_order};
use super::switch::PendingSwitch;
use rudder_core::{KeeperSeat, LogTerm, SuccessionGrant, SwitchOrder};
use rudder_store::ObjectVersion;
use tokio::time::Instant;

/// What a call to the platform brought.
pub(super) enum PlatformNews {
    Grant(Result<SuccessionGrant, GrantClientError>),
    Order(Option<PendingOrder>),
    Nothing,
}

impl GroupKeeper {
    pub(super) fn note_platform(&mut self, news: PlatformNews) {
        match news {
            PlatformNews::Grant(Ok(grant)) => {
                self.purse.refill(&grant);
                self.settled_term = grant.primary().map_or(LogTerm(0), |(_, term)| term);
            }
            PlatformNews::Grant(Err(error)) => {
                log::debug!(
                    target: "rudder::succession",
                    service:% = self.config.service, error:% = error;
                    "succession grant not refreshed"
                );
            }
            PlatformNews::Order(Some(order)) if self.switch.is_none() => self.note_order(order),
            PlatformNews::Order(_) | PlatformNews::Nothing => {}
        }
    }

    fn note_order(&mut self, order: PendingOrder) {
        let PendingOrder { order: SwitchOrder { target, mark }, version } = &order;
        // Guards against an order that is carried out twice: if its removal failed, it is read
        // again, perhaps after a failover has moved the primary away from the target.
        if self.last_order.as_ref() == Some(mark) {
            self.spawn_removal(version.clone());
            return;
        }
        self.decide(DecisionReason::SwitchOrdered, self.accepted, Some(target));
        self.last_order = Some(mark.clone());
        self.switch = Some(PendingSwitch::new(order));
    }

    pub(super) fn call_platform(&mut self) {
        if self.platform_calls.len() >= PLATFORM_CALLS_MAX {
            return;
        }
        let now = Instant::now();
        // A reservation made before any member was heard would be of a term that they refuse, and
        // cost the platform a second write.
        let is_heard = self.accepted > LogTerm(0);
        if is_heard && now >= self.grant_due_at {
            let is_usable = self.purse.is_usable(self.accepted);
            self.grant_due_at = now + if is_usable { GRANT_REFRESH } else { GRANT_RETRY };
            self.spawn_enrol();
        }
        let has_first_rank = self.roster.rank_of(&self.config.instance) == Some(0);
        if has_first_rank && self.switch.is_none() && now >= self.order_due_at {
            self.order_due_at = now + ORDER_REFRESH;
            let (store, service) = (self.config.store.clone(), self.config.service.clone());
            self.spawn_call(async move {
                PlatformNews::Order(read_order(&store, &service).await.unwrap_or_default())
            });
        }
    }

    /// Makes the platform reserve a term for this run, and brings the object up to date.
    fn spawn_enrol(&mut self) {
        let client = self.client.clone();
        let seat = KeeperSeat {
            instance: self.config.instance.clone(),
            incarnation: self.purse.incarnation().clone(),
        };
        let keepers = self.roster.names();
        let accepted = self.accepted;
        let view = self.view.borrow().clone();
        let term = view.term;
        let unsettled = view.primary.clone().filter(|_| term > self.settled_term);
        self.spawn_call(async move {
            if let Some(primary) = unsettled
                && let Err(error) = client.settle(&primary, term).await
            {
                return PlatformNews::Grant(Err(error));
            }
            PlatformNews::Grant(client.enrol(&seat, &keepers, accepted).await)
        });
    }
    /// Removes an order that was carried out or refused.
    pub(super) fn spawn_removal(&mut self, version: ObjectVersion) {
        let (store, service) = (self.config.store.clone(), self.config.service.clone());
        self.spawn_call(async move {
            remove_order(&store, &service, &version).await;
            PlatformNews::Nothing
        });
    }

    fn spawn_call(&mut self, call: impl Future<Output = PlatformNews> + Send + 'static) {
        self.platform_calls.spawn(async move {
            let answer = tokio::time::timeout(PLATFORM_CALL_BOUND, call).await;
            answer.unwrap_or(PlatformNews::Nothing)
        });
    }
}
