//! In-memory group behind control channels that can be cut.

use super::model::{ModelGroup, member_name};
use async_trait::async_trait;
use rudder_core::{ControlStatement, LogTerm, MemberStatus, PlanReply};
use rudder_endpoint::{ControlError, MemberControl};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

const LINK_DELAY: Duration = Duration::from_millis(10);

/// Kills the next promoted member, right after its response or before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PromotionFault {
    None,
    DiesAfterResponse,
    ResponseLost,
}

pub(super) struct FakeGroup {
    model: Mutex<ModelGroup>,
    pub(super) fault: Mutex<PromotionFault>,
    /// Whether stopped members never respond, instead of refusing connections.
    pub(super) is_silent: AtomicBool,
    /// Terms of all fence statements sent to members.
    fenced: Mutex<Vec<LogTerm>>,
    /// The member that no keeper can reach, if any.
    pub(super) unreachable_member: Mutex<Option<usize>>,
    /// Additional delay of the responses to status statements.
    pub(super) status_delay: Mutex<Duration>,
}

impl FakeGroup {
    pub(super) fn new(members: usize) -> Arc<Self> {
        let model = Mutex::new(ModelGroup::new(members));
        let (fault, is_silent) = (Mutex::new(PromotionFault::None), AtomicBool::new(false));
        let (unreachable_member, status_delay) = (Mutex::default(), Mutex::default());
        let fenced = Mutex::default();
        Arc::new(Self { model, fault, is_silent, fenced, unreachable_member, status_delay })
    }

    pub(super) fn model(&self) -> MutexGuard<'_, ModelGroup> {
        self.model.lock().expect("no test thread panics while it holds the group")
    }

    /// Returns the number of attempted successions, counted by their terms.
    pub(super) fn successions(&self) -> usize {
        let mut terms = self.fenced.lock().expect("no panic while held").clone();
        terms.sort_unstable();
        terms.dedup();
        terms.len()
    }

    fn run(&self, index: usize, statement: &ControlStatement) -> PlanReply {
        if let ControlStatement::Fence(term) = statement {
            self.fenced.lock().expect("no panic while held").push(*term);
        }
        let reply = self.model().run(index, statement);
        let mut fault = self.fault.lock().expect("no panic while held");
        let is_promotion = matches!(statement, ControlStatement::Promote(_));
        if !is_promotion || *fault == PromotionFault::None {
            return reply;
        }
        self.model().kill(index);
        let fault = std::mem::replace(&mut *fault, PromotionFault::None);
        if fault == PromotionFault::ResponseLost { PlanReply::NoResponse } else { reply }
    }
}

/// Control channel of one instance to one member.
pub(super) struct FakeControl {
    pub(super) group: Arc<FakeGroup>,
    pub(super) index: usize,
    pub(super) is_cut: bool,
}

#[async_trait]
impl MemberControl for FakeControl {
    async fn run(
        &self,
        statement: &ControlStatement,
        _within: Duration,
    ) -> Result<MemberStatus, ControlError> {
        let unreachable = || ControlError::Unreachable(member_name(self.index).to_string());
        let is_hidden =
            *self.group.unreachable_member.lock().expect("no panic") == Some(self.index);
        if self.is_cut || is_hidden {
            return Err(unreachable());
        }
        tokio::time::sleep(LINK_DELAY).await;
        let reply = self.group.run(self.index, statement);
        if *statement == ControlStatement::Status {
            let delay = *self.group.status_delay.lock().expect("no panic");
            tokio::time::sleep(delay).await;
        }
        tokio::time::sleep(LINK_DELAY).await;
        match reply {
            PlanReply::Status(status) => Ok(status),
            PlanReply::Superseded(term) => Err(ControlError::Superseded(term)),
            PlanReply::Refused => Err(ControlError::Refused("wrong term".to_owned())),
            PlanReply::NoResponse if self.group.is_silent.load(Ordering::Relaxed) => {
                std::future::pending().await
            }
            PlanReply::NoResponse => Err(unreachable()),
        }
    }
}
