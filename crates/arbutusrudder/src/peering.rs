//! Handling of requests and hints from other instances.

use crate::context::InstanceContext;
use crate::group_tasks::VoteExchange;
use async_trait::async_trait;
use rudder_peers::{HintMessage, PeerHandler, PeerHint, PeerReply, PeerRequest};
use std::sync::{Arc, OnceLock, Weak};

/// Responds to the requests of peers and applies their hints.
pub(crate) struct PeerResponder {
    context: Weak<InstanceContext>,
    exchange: OnceLock<Arc<VoteExchange>>,
}

impl PeerResponder {
    /// Creates a responder that serves requests from `context` until it is dropped.
    pub(crate) fn new(context: &Arc<InstanceContext>) -> Self {
        Self { context: Arc::downgrade(context), exchange: OnceLock::new() }
    }

    /// Sets the receiver of votes, which can only be created once the mesh has started.
    pub(crate) fn set_exchange(&self, exchange: Arc<VoteExchange>) {
        // Called once; a second call would have no effect.
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
                    exchange.receive(vote);
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
    /// Records the revision number of a peer's hint and wakes the settings task if it is newer. The
    /// number only triggers a fetch; the settings change only with the revision itself.
    fn record_revision_hint(&self, number: u64) {
        self.revision_hint.send_if_modified(|known| {
            let newer = number > *known;
            *known = (*known).max(number);
            newer
        });
    }
}
