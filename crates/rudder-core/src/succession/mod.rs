//! Replacement of a primary: failure detection, agreement on a term, and the steps of a promotion.
//!
//! The members accept terms; an object stored in the platform decides which instance may use which
//! term. This module contains the decisions only. Its driver sends the statements and passes the
//! replies back.

mod candidate;
mod condition;
mod failure_detector;
mod grant;
mod order;
mod plan;
mod plan_advance;
mod plan_phase;
mod plan_reply;
mod plan_step;
mod reservation;
mod stall;
mod term_reserve;

pub use candidate::choose_candidate;
pub use condition::{GroupCondition, assess_group};
pub use failure_detector::{FailureDetector, ObserverVote, VoteKind};
pub use grant::{GrantError, SuccessionGrant};
pub use order::SwitchOrder;
pub use plan::SuccessionPlan;
pub use plan_step::{PlanMember, PlanReply, PlanRequest, PlanState, PlanTimeouts};
pub use reservation::{KeeperRun, TermReservation, WriterMark};
pub use stall::StallDetector;
pub use term_reserve::TermReserve;
