//! Decisions under load: what is let in, what waits, what is turned away, where work goes, and how
//! fast the system shifts.
//!
//! Nothing here opens a socket, reads a clock or depends on an async runtime. Time is passed in as
//! [`std::time::Instant`] and randomness as a `&mut dyn rand::Rng`, so every decision can be
//! played in virtual time. The header of each module says which load pattern it answers, what
//! goes wrong without it, and why its thresholds are what they are.

mod admission;
mod average;
mod connection_headroom;
mod connection_share;
mod detector;
mod dial_gate;
mod meter;
mod operation_limit;
mod outlier;
mod place;
mod ramp;
mod reconnect;
mod replica_progress;
mod retry;
mod routing;
mod share;
mod standing;
mod wait_queue;
mod work;

pub use admission::{
    AdmissionGate, AdmissionRequest, AdmissionVerdict, LaneKey, LaneLimits, LaneUsage,
    RefusalCause, RefusalReason, TicketId, TicketNotice, TicketOutcome,
};
pub use connection_headroom::ConnectionHeadroom;
pub use connection_share::ConnectionShare;
pub use detector::{SilenceDetector, SuspicionBound};
pub use dial_gate::{DialFailure, DialGate};
pub use meter::MemberMeter;
pub use operation_limit::{
    ClaimPlan, ClaimVerdict, FleetContact, LimitBounds, LimitLedger, OperationBucket,
    OperationLimit, OwnerRole, OwnerState, OwnerWatch, RecentNotes, rank_owners,
};
pub use outlier::OutlierTracker;
pub use place::{NodePlace, PlaceDistance};
pub use ramp::RampSchedule;
pub use reconnect::ReconnectPacer;
pub use replica_progress::ReplicaProgress;
pub use retry::RetryBudget;
pub use routing::{
    MemberHealth, MemberView, MemberWeight, ReadDemand, ReadPolicy, ReadRoute, ReadRouter,
    RouteChoice, RouteReason,
};
pub use share::{DemandPart, SlotShare, holders_max, holders_of};
pub use standing::ReadStanding;
pub use wait_queue::{WaitQueue, WaitingWork};
pub use work::{WorkClass, WorkEstimate, WorkSize};
