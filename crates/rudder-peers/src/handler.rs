//! The border towards the code that uses what peers say.

use crate::hints::HintMessage;
use crate::wire::{PeerReply, PeerRequest};
use async_trait::async_trait;

/// A handler that takes no notice of hints and answers no request.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopHandler;

#[async_trait]
impl PeerHandler for NoopHandler {
    async fn on_hint(&self, _message: HintMessage) {}

    async fn on_request(&self, _request: PeerRequest) -> PeerReply {
        PeerReply::Unknown
    }
}

/// Takes hints in and answers peers' requests.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Takes in a hint that is news. Hints come one at a time, in the order in which they arrived;
    /// a handler that is too slow loses some.
    async fn on_hint(&self, message: HintMessage);

    /// Answers a request; `PeerReply::Unknown` if it cannot.
    async fn on_request(&self, request: PeerRequest) -> PeerReply;
}
