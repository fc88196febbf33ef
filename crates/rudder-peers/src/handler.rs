//! Interface to the code that consumes hints and serves requests of peers.

use crate::hints::HintMessage;
use crate::wire::{PeerReply, PeerRequest};
use async_trait::async_trait;

/// Handler that ignores hints and replies to every request with `PeerReply::Unknown`.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopHandler;

#[async_trait]
impl PeerHandler for NoopHandler {
    async fn on_hint(&self, _message: HintMessage) {}

    async fn on_request(&self, _request: PeerRequest) -> PeerReply {
        PeerReply::Unknown
    }
}

/// Consumer of hints and server of requests from peers.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Processes a hint that is newer than what was known. Hints are passed one at a time, in the
    /// order in which they arrived; if the handler is too slow, some are dropped.
    async fn on_hint(&self, message: HintMessage);

    /// Serves a request; returns `PeerReply::Unknown` if it cannot.
    async fn on_request(&self, request: PeerRequest) -> PeerReply;
}
