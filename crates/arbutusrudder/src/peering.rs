//! Answering the other instances, and taking their hints.

use crate::context::InstanceContext;
use async_trait::async_trait;
use rudder_peers::{HintMessage, PeerHandler, PeerHint, PeerReply, PeerRequest};
use std::sync::{Arc, Weak};

/// Answers peers on behalf of this instance.
pub(crate) struct PeerDesk {
    context: Weak<InstanceContext>,
}

impl PeerDesk {
    /// A desk that answers from `context` while it lives.
    pub(crate) fn new(context: &Arc<InstanceContext>) -> Self {
        Self { context: Arc::downgrade(context) }
    }
}

#[async_trait]
impl PeerHandler for PeerDesk {
    async fn on_hint(&self, message: HintMessage) {
        let Some(context) = self.context.upgrade() else { return };
        context.take_hint(&message);
    }

    async fn on_request(&self, request: PeerRequest) -> PeerReply {
        let Some(context) = self.context.upgrade() else { return PeerReply::Unknown };
        match request {
            PeerRequest::RevisionFetch { newer_than } => {
                context.revision_bytes(newer_than).map_or(PeerReply::Unknown, PeerReply::Revision)
            }
            _ => PeerReply::Unknown,
        }
    }
}

impl InstanceContext {
    /// Takes a peer's hint. It only chooses what to try first.
    fn take_hint(&self, message: &HintMessage) {
        if let PeerHint::Revision(hint) = &message.hint {
            self.revision_hint.send_if_modified(|known| {
                let newer = hint.number > *known;
                *known = (*known).max(hint.number);
                newer
            });
        }
    }
}
