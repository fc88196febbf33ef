//! Carries out an operator's order to switch the primary.

use super::decision::DecisionReason;
use super::group_keeper::GroupKeeper;
use super::orders::PendingOrder;
use super::timeouts::SWITCH_TIMEOUT;
use rudder_core::{LogStamp, MemberName};
use tokio::time::Instant;

/// A switch order whose target still has to catch up with the primary.
pub(super) struct PendingSwitch {
    order: PendingOrder,
    deadline: Instant,
    required_stamp: Option<LogStamp>,
}

impl PendingSwitch {
    pub(super) fn new(order: PendingOrder) -> Self {
        Self { order, deadline: Instant::now() + SWITCH_TIMEOUT, required_stamp: None }
    }
}

impl GroupKeeper {
    /// Carries out a pending switch once its target has caught up, so that writes stop only while
    /// the plan runs and the last entries are transferred.
    pub(super) async fn process_switch_order(&mut self) {
        let Some(mut switch) = self.switch.take() else { return };
        let target = switch.order.order.target.clone();
        if self.view.borrow().primary.as_ref() == Some(&target) {
            self.record_decision(DecisionReason::SwitchDone, self.accepted_term, Some(&target));
        } else if self.is_caught_up(&target, &mut switch.required_stamp) {
            self.switch_to(&target).await;
        } else if Instant::now() < switch.deadline {
            self.switch = Some(switch);
            return;
        } else {
            self.record_decision(DecisionReason::SwitchRefused, self.accepted_term, Some(&target));
        }
        self.spawn_order_removal(switch.order.version);
    }

    async fn switch_to(&mut self, target: &MemberName) {
        self.publish(true);
        let primary = self.run_succession(Some(target)).await;
        let is_done = primary.as_ref() == Some(target);
        let reason =
            if is_done { DecisionReason::SwitchDone } else { DecisionReason::SwitchMissed };
        self.record_decision(reason, self.accepted_term, Some(target));
        self.publish(false);
    }

    /// Whether the target has received the log up to the primary's position at the first check of
    /// the order.
    fn is_caught_up(&self, target: &MemberName, required_stamp: &mut Option<LogStamp>) -> bool {
        let view = self.view.borrow();
        let report = view.members.iter().find(|report| report.member == *target);
        let received = report.and_then(|report| report.status).map(|status| status.received);
        let Some(stamp) = view.confirmed_stamp else {
            return false;
        };
        let required_stamp = *required_stamp.get_or_insert(stamp);
        received.is_some_and(|received| received >= required_stamp)
    }
}
