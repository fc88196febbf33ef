//! What is let in, what waits, and what is turned away.
//!
//! Load patterns and what goes wrong without this module:
//! - A burst or saturation: without a bounded queue every request waits longer than its caller
//!   does, slots are spent on answers that nobody reads, and goodput falls as load rises.
//! - A few callers that take most of the load: with one queue in order of arrival, everybody waits
//!   behind the busiest caller.
//! - Reads beside writes: with one queue, catalogue reads wait behind a rehearsal week's orders.
//! - Long work among short: a few reports take every slot.
//!
//! The constants and the reasons for their values stand where they are used: the order of service
//! in `lane`, the limits in `gate`, the spread of retries in `retry_after`.

mod gate;
mod lane;
mod request;
mod retry_after;

pub use gate::AdmissionGate;
pub use lane::{LaneLimits, LaneUsage};
pub use request::{
    AdmissionRequest, AdmissionVerdict, LaneKey, RefusalCause, RefusalReason, TicketId,
    TicketNotice, TicketOutcome,
};
