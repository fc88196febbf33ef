//! The messages between a succession plan and whoever drives it.

use crate::control::ControlStatement;
use crate::ident::MemberName;
use crate::plain_data;
use crate::stamp::LogTerm;
use crate::status::MemberStatus;
use std::time::Duration;

plain_data! {
    /// A member as the plan sees it.
    pub struct PlanMember {
        /// The member's name.
        pub name: MemberName,
        /// Decides between members whose logs are equally advanced; the lowest wins.
        pub preference: u32,
    }
}

plain_data! {
    /// The plan's bounds in time.
    #[derive(Copy)]
    pub struct PlanBounds {
        /// How long a lost statement rests before it is sent again.
        pub retry: Duration,
        /// How long the plan waits for more answers than the bare majority.
        pub grace: Duration,
        /// How long the chosen member may stay unheard.
        pub patience: Duration,
    }
}

plain_data! {
    /// A statement to send to a member.
    pub struct PlanRequest {
        /// The member to ask.
        pub member: MemberName,
        /// The statement to run there.
        pub statement: ControlStatement,
    }
}

/// What came of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanReply {
    /// The member ran it and reports this status, taken after its effect.
    Status(MemberStatus),
    /// The member refused it, because it accepted this greater term.
    Superseded(LogTerm),
    /// The member refused it for another reason.
    Refused,
    /// No answer came; the statement may have taken effect.
    Lost,
}

/// Where a plan stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanState {
    /// Statements are under way or due.
    Running,
    /// The member is primary of the plan's term and a majority replicates from it.
    Done(MemberName),
    /// A member accepted this greater term: another succession goes on.
    Superseded(LogTerm),
    /// The chosen member was lost after a promotion may have reached it: a new term is needed.
    CandidateLost(MemberName),
}
