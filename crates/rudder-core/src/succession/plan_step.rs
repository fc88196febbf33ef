//! The types exchanged between a succession plan and its driver.

use crate::control::ControlStatement;
use crate::ident::MemberName;
use crate::plain_data;
use crate::stamp::LogTerm;
use crate::status::MemberStatus;
use std::time::Duration;

plain_data! {
    /// A member of the group for which a plan is made.
    pub struct PlanMember {
        /// The member's name.
        pub name: MemberName,
        /// Rank among members whose logs are equally advanced; the lowest is promoted.
        pub preference: u32,
    }
}

plain_data! {
    /// The delays and timeouts of a plan.
    #[derive(Copy)]
    pub struct PlanTimeouts {
        /// Delay before a statement is sent to the same member again.
        pub retry: Duration,
        /// Time for which the plan waits for more replies after a majority is fenced.
        pub grace: Duration,
        /// Timeout for the chosen member to catch up, to be promoted, to respond while the others
        /// start to replicate, and to be confirmed.
        pub timeout: Duration,
    }
}

plain_data! {
    /// A statement to send to a member.
    pub struct PlanRequest {
        /// The member to send it to.
        pub member: MemberName,
        /// The statement to run there.
        pub statement: ControlStatement,
    }
}

/// The result of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanReply {
    /// The member ran it and reported this status, read after its effect.
    Status(MemberStatus),
    /// The member rejected it, because it has accepted this greater term.
    Superseded(LogTerm),
    /// The member rejected it for another reason.
    Refused,
    /// No reply arrived; the statement may have taken effect.
    NoResponse,
}

/// The state of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanState {
    /// Statements are in flight or due.
    Running,
    /// The member is the primary of the plan's term and a majority replicates from it, counting the
    /// member itself.
    Done(MemberName),
    /// A member accepted this greater term: another succession has begun.
    Superseded(LogTerm),
    /// The chosen member failed after a promotion may have reached it: a new term is needed.
    CandidateLost(MemberName),
}
