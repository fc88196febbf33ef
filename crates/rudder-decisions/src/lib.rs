//! Decisions under load: which requests run, wait or are refused, which member serves them, and how
//! fast load moves between members.
//!
//! The crate opens no sockets, reads no clock and depends on no async runtime. Time is passed in as
//! [`std::time::Instant`] and randomness as a `&mut dyn rand::Rng`, so every decision can be
//! simulated in virtual time. Each module's documentation names the load pattern that the module
//! handles, the failure without it, and the reasons for its thresholds.

mod admission;
mod average;
mod connection_headroom;
mod connection_loan;
mod connection_share;
mod connection_table;
mod detector;
mod dial_gate;
mod forwarded_load;
mod forwarding;
mod log_throttle;
mod machine_limits;
mod memory_budget;
mod meter;
mod operation_limit;
mod outlier;
mod place;
mod ramp;
mod read_rank;
mod reconnect;
mod replica_progress;
mod retry;
mod routing;
mod share;
mod wait_queue;
mod watch_plan;
mod work;

pub use admission::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, LaneKey, LaneLimits, LaneUsage,
    RefusalCause, RefusalReason, TicketId, TicketNotice, TicketOutcome,
};
pub use connection_headroom::ConnectionHeadroom;
pub use connection_loan::{
    LoanAction, LoanDecision, LoanLedger, LoanRefusal, LoanRequestTerms, LoanResponseTerms,
    MemberKey, MemberRotation, MemberUse, ResponseOutcome, ReturnReason, SpareBoard,
    uses_connection_loans,
};
pub use connection_share::ConnectionShare;
pub use connection_table::{ConnectionDecision, ConnectionPhase, ConnectionTable};
pub use detector::{SilenceDetector, SuspicionBound};
pub use dial_gate::{DialFailure, DialGate};
pub use forwarded_load::ForwardedLoad;
pub use forwarding::{
    ForwardChoice, ForwardingRule, HOLDERS_MAX, HolderBoard, HolderBudget, HolderCandidate,
    InstanceCapacity, LocalPool, forward_choice, rank_holders,
};
pub use log_throttle::LogThrottle;
pub use machine_limits::MachineLimits;
pub use memory_budget::{BudgetError, MemoryBudget, MemoryReservation};
pub use meter::MemberMeter;
pub use operation_limit::{
    ClaimDecision, ClaimPlan, ClaimRejection, ClaimScope, ClaimTerms, DomainCount, ExpiringSet,
    FleetContact, FleetReach, GrantLog, LimitBounds, LimitLedger, LimitQueues, OperationBucket,
    OperationLimit, OwnerRole, OwnerState, OwnerWatch, PromisedTokens, QueueNotice, QueueOutcome,
    ReachBoard, ReachReport, ReservationTally, TokenSupply, choose_relays, rank_owners,
};
pub use outlier::OutlierTracker;
pub use place::{NodePlace, PlaceDistance};
pub use ramp::RampSchedule;
pub use read_rank::ReadRank;
pub use reconnect::ReconnectPacer;
pub use replica_progress::ReplicaProgress;
pub use retry::RetryBudget;
pub use routing::{
    MemberHealth, MemberView, MemberWeight, ReadDemand, ReadPolicy, ReadRoute, ReadRouter,
    RouteChoice, RouteReason,
};
pub use share::{DemandPart, HolderShare, holders_max, holders_of};
pub use wait_queue::{WaitQueue, WaitingWork};
pub use watch_plan::WatchPlan;
pub use work::{WorkClass, WorkEstimate, WorkSize};
