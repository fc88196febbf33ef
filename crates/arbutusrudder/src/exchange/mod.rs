//! Runs one batch on one member's connection: encodes it, matches the replies, relays them.

mod batch;
mod encode;
mod relay;
mod replies;
mod sink;

pub(crate) use batch::{BatchEnd, BatchFrame, CallerBatch, PreparedStatement};
pub(crate) use encode::{encode_batch, sync_settings};
pub(crate) use relay::{BatchOutcome, ExchangeError, RelayBounds, drain_batch, relay_batch};
pub(crate) use replies::ReplyQueue;
pub(crate) use sink::{HeldReplies, HoldRule, ReplySink};
