//! The state of a plan: its current phase and its progress at each member.

use super::plan_step::{PlanMember, PlanState};
use crate::control::ControlStatement;
use crate::ident::MemberName;
use crate::plain_data;
use crate::stamp::LogStamp;
use crate::status::MemberStatus;
use std::time::Duration;

plain_data! {
    /// The plan's progress at one member.
    pub(super) struct MemberProgress {
        pub(super) member: PlanMember,
        pub(super) in_flight: Option<SentStatement>,
        pub(super) due_at: Duration,
        pub(super) attempted: bool,
        pub(super) fenced: Option<MemberStatus>,
        pub(super) follows: bool,
    }
}

plain_data! {
    /// A statement that is in flight.
    pub(super) struct SentStatement {
        pub(super) statement: ControlStatement,
        pub(super) sent_at: Duration,
    }
}

/// The phases of a plan, in order. `CatchingUp` occurs only in a planned switch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum PlanPhase {
    Fencing { majority_since: Option<Duration> },
    CatchingUp { target: MemberName, source: MemberName, goal: LogStamp, since: Duration },
    Promoting { candidate: MemberName, since: Duration },
    Following { candidate: MemberName, last_status_at: Duration },
    Confirming { candidate: MemberName, since: Duration },
    Ended(PlanState),
}

impl MemberProgress {
    pub(super) fn new(member: PlanMember) -> Self {
        Self {
            member,
            in_flight: None,
            due_at: Duration::ZERO,
            attempted: false,
            fenced: None,
            follows: false,
        }
    }
}
