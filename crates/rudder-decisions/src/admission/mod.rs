//! Admission control: which requests run at once, which wait, and which are rejected.
//!
//! Load patterns and the failures without this module:
//! - Bursts and saturation: without a bounded queue every request waits longer than its caller
//!   does, slots are spent on responses that nobody reads, and goodput falls as load rises.
//! - A few callers that send most of the load: with one first-in, first-out queue, all callers wait
//!   behind the busiest one.
//! - Reads beside writes: with one queue, catalogue reads wait behind a seasonal burst of orders.
//! - Long statements among short ones: a few reports occupy every slot.
//!
//! Each constant is documented with the reason for its value where it is used: the order of service
//! in `lane`, the limits in `gate`, the spreading of retries in `retry_after`.

mod gate;
mod lane;
mod request;
mod retry_after;

pub use gate::AdmissionGate;
pub use lane::{LaneLimits, LaneUsage};
pub use request::{
    AdmissionDecision, AdmissionRequest, LaneKey, RefusalCause, RefusalReason, TicketId,
    TicketNotice, TicketOutcome,
};
