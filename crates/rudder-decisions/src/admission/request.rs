//! The inputs and outputs of the admission gate.

use crate::work::{WorkClass, WorkSize};
use rudder_core::{CallerKind, MemberName, ServiceName, plain_data};
use std::fmt;
use std::time::{Duration, Instant};

plain_data! {
    /// The lane of one member of one service.
    #[derive(PartialOrd, Ord)]
    pub struct LaneKey {
        /// The service.
        pub service: ServiceName,
        /// The member.
        pub member: MemberName,
    }
}

impl fmt::Display for LaneKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.member)
    }
}

plain_data! {
    /// One statement or transaction that asks for a slot.
    pub struct AdmissionRequest {
        /// The member that it is meant for.
        pub lane: LaneKey,
        /// The kind of its caller.
        pub kind: CallerKind,
        /// A hash that tells callers apart.
        pub caller: u64,
        /// Whether it may change data.
        pub class: WorkClass,
        /// Whether it is expected to hold its slot for long.
        pub size: WorkSize,
        /// Whether it is turned away before others.
        pub shed: bool,
        /// Requests of this kind that may run or wait at once.
        pub in_flight_max: u32,
        /// How long it may wait for a slot.
        pub queue_wait: Duration,
        /// When its answer is of no more use.
        pub deadline: Instant,
    }
}

/// Names a request from its offer until it is released or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The gate's answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It holds a slot now; release the ticket when it is done.
    Run(TicketId),
    /// It waits; a later notice says what becomes of the ticket.
    Wait(TicketId),
    /// It has not run and will not: the final answer.
    Refuse(RefusalReason),
}

plain_data! {
    /// Why a request was turned away, and when to come back.
    #[derive(Copy)]
    pub struct RefusalReason {
        /// The reason as a fixed word.
        pub word: RefusalCause,
        /// When to come back; spread, so that refused callers do not return together.
        pub retry_after: Duration,
    }
}

/// Why a request was turned away, as a fixed word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalCause {
    /// The caller's kind has as many requests as it may.
    KindLimit,
    /// The caller has as many requests as one caller of its kind may.
    CallerLimit,
    /// The queue is so long that work which can come back later is turned away.
    Shed,
    /// The queue is full.
    QueueFull,
    /// It would not get a slot in time.
    TooLate,
    /// Its wait is over.
    WaitOver,
    /// The lane was closed while it waited.
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
    /// What became of a waiting ticket.
    #[derive(Copy)]
    pub struct TicketNotice {
        /// The ticket.
        pub ticket: TicketId,
        /// What became of it.
        pub outcome: TicketOutcome,
    }
}

/// What became of a waiting ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TicketOutcome {
    /// It holds a slot now; release the ticket when it is done.
    Run,
    /// It has not run and will not: the final answer.
    Refuse(RefusalReason),
}
