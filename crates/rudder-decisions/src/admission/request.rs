//! Input and output types of the admission gate.

use crate::work::{WorkClass, WorkSize};
use rudder_core::{CallerKind, MemberName, ServiceName, plain_data};
use std::fmt;
use std::time::{Duration, Instant};

plain_data! {
    /// Key of the lane of one member of one service.
    #[derive(PartialOrd, Ord)]
    pub struct LaneKey {
        /// Service of the member.
        pub service: ServiceName,
        /// Name of the member.
        pub member: MemberName,
    }
}

impl fmt::Display for LaneKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.member)
    }
}

plain_data! {
    /// A statement or transaction that requests a slot.
    pub struct AdmissionRequest {
        /// Lane of the member that would run it.
        pub lane: LaneKey,
        /// Kind of its caller.
        pub kind: CallerKind,
        /// Hash that identifies its caller.
        pub caller: u64,
        /// Class of the work: whether it may change data.
        pub class: WorkClass,
        /// Size of the work: whether it is expected to hold its slot for long.
        pub size: WorkSize,
        /// Whether it is sheddable: refused before other requests when the queue fills up.
        pub sheddable: bool,
        /// Maximum number of running and waiting requests of this kind.
        pub in_flight_max: u32,
        /// Maximum wait for a slot.
        pub queue_wait: Duration,
        /// Time after which its response is of no use to the caller.
        pub deadline: Instant,
    }
}

/// Identifier of a request from its offer until it is released or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Decision of the gate on an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request holds a slot; its ticket has to be released when it is done.
    Run(TicketId),
    /// The request waits; a later notice reports the outcome of the ticket.
    Wait(TicketId),
    /// The request was refused: it has not run and will not run.
    Refuse(RefusalReason),
}

plain_data! {
    /// Reason why a request was refused, and the delay before a retry.
    #[derive(Copy)]
    pub struct RefusalReason {
        /// Reason code.
        pub word: RefusalCause,
        /// Delay before a retry, spread so that refused callers do not retry at the same time.
        pub retry_after: Duration,
    }
}

/// Reason code of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalCause {
    /// The kind of the caller has reached its maximum number of requests.
    KindLimit,
    /// The caller has reached the maximum number of requests of one caller of its kind.
    CallerLimit,
    /// The request is sheddable, and the queue is too long to accept sheddable requests.
    Shed,
    /// The queue is full.
    QueueFull,
    /// The request would not get a slot in time.
    TooLate,
    /// The wait of the request expired.
    WaitOver,
    /// The lane was closed while the request waited.
    LaneClosed,
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::KindLimit => "kind_limit",
            Self::CallerLimit => "caller_limit",
            Self::Shed => "shed",
            Self::QueueFull => "queue_full",
            Self::TooLate => "too_late",
            Self::WaitOver => "wait_over",
            Self::LaneClosed => "lane_closed",
        })
    }
}

plain_data! {
    /// Outcome of a waiting ticket.
    #[derive(Copy)]
    pub struct TicketNotice {
        /// Ticket of the request.
        pub ticket: TicketId,
        /// Outcome of the ticket.
        pub outcome: TicketOutcome,
    }
}

/// Outcome of a waiting ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketOutcome {
    /// The request holds a slot; its ticket has to be released when it is done.
    Run,
    /// The request was refused: it has not run and will not run.
    Refuse(RefusalReason),
}
