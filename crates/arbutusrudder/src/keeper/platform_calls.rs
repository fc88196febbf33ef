//! The keeper's calls to the platform outside a promotion. They run beside its task, so that a
//! slow platform does not delay a probe.

use super::bounds::{GRANT_REFRESH, GRANT_RETRY, ORDER_REFRESH};
use super::decision::DecisionReason;
use super::grant_client::GrantClientError;
use super::group_keeper::GroupKeeper;
use super::orders::{PendingOrder, read_order};
use super::switch::PendingSwitch;
use rudder_core::{KeeperSeat, LogTerm, SuccessionGrant};
use tokio::time::Instant;

/// What a call to the platform brought.
pub(super) enum PlatformNews {
    Grant(Result<SuccessionGrant, GrantClientError>),
    Order(Option<PendingOrder>),
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
            PlatformNews::Order(Some(order)) if self.is_new_order(&order) => {
                let target = order.order.target.clone();
                self.decide(DecisionReason::SwitchOrdered, self.accepted, Some(&target));
                self.last_order = Some(order.order.mark.clone());
                self.switch = Some(PendingSwitch::new(order));
            }
            PlatformNews::Order(_) => {}
        }
    }

    /// A slow read may bring an order again that was carried out since.
    fn is_new_order(&self, order: &PendingOrder) -> bool {
        self.switch.is_none() && self.last_order.as_ref() != Some(&order.order.mark)
    }

    pub(super) fn call_platform(&mut self) {
        let now = Instant::now();
        // Before any member was heard, a reservation would be of a term that they refuse.
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
            self.platform_calls.spawn(async move {
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
        let (keepers, spent) = (self.roster.names(), self.purse.spent());
        let accepted = self.accepted;
        let (primary, term) = (self.view.borrow().primary.clone(), self.view.borrow().term);
        let unsettled = primary.filter(|_| term > self.settled_term);
        self.platform_calls.spawn(async move {
            if let Some(primary) = unsettled
                && let Err(error) = client.settle(&primary, term).await
            {
                return PlatformNews::Grant(Err(error));
            }
            PlatformNews::Grant(client.enrol(&seat, &keepers, spent, accepted).await)
        });
    }
}
