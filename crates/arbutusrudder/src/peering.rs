//! Answering the other instances, and taking their hints.

use crate::context::InstanceContext;
use crate::duty::VoteExchange;
use async_trait::async_trait;
use rudder_peers::{HintMessage, PeerHandler, PeerHint, PeerReply, PeerRequest};
use std::sync::{Arc, OnceLock, Weak};

/// Answers peers on behalf of this instance.
pub(crate) struct PeerResponder {
    context: Weak<InstanceContext>,
    exchange: OnceLock<Arc<VoteExchange>>,
}

impl PeerResponder {
    /// A desk that answers from `context` while it lives.
    pub(crate) fn new(context: &Arc<InstanceContext>) -> Self {
        Self { context: Arc::downgrade(context), exchange: OnceLock::new() }
    }

    /// Sets where votes go, once the mesh that they travel over is up.
    pub(crate) fn set_exchange(&self, exchange: Arc<VoteExchange>) {
        // A second call would change nothing, and there is none.
        let _ = self.exchange.set(exchange);
    }
}

#[async_trait]
impl PeerHandler for PeerResponder {
    async fn on_hint(&self, message: HintMessage) {
        let Some(context) = self.context.upgrade() else { return };
        match &message.hint {
            PeerHint::Revision(hint) => context.record_revision_hint(hint.number),
            PeerHint::Vote(vote) => {
                if let Some(exchange) = self.exchange.get() {
                    exchange.take(vote);
                }
            }
            _ => {}
        }
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
    /// Takes the number of a revision that a peer spoke of. It only says what to ask for.
    fn record_revision_hint(&self, number: u64) {
        self.revision_hint.send_if_modified(|known| {
            let newer = number > *known;
            *known = (*known).max(number);
            newer
        });
    }
}
