//! Logs the keeper's decisions, with a fixed code for each reason.

use rudder_core::{LogTerm, MemberName, ServiceName};
use std::fmt;

/// Reason code of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DecisionReason {
    Suspected,
    Cleared,
    TermGranted,
    TermReserved,
    NoTerm,
    Promoted,
    Superseded,
    CandidateLost,
    Repointed,
    SwitchOrdered,
    SwitchRefused,
    SwitchDone,
    SwitchMissed,
}

impl DecisionReason {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Suspected => "suspected",
            Self::Cleared => "cleared",
            Self::TermGranted => "term_granted",
            Self::TermReserved => "term_reserved",
            Self::NoTerm => "no_term",
            Self::Promoted => "promoted",
            Self::Superseded => "superseded",
            Self::CandidateLost => "candidate_lost",
            Self::Repointed => "repointed",
            Self::SwitchOrdered => "switch_ordered",
            Self::SwitchRefused => "switch_refused",
            Self::SwitchDone => "switch_done",
            Self::SwitchMissed => "switch_missed",
        }
    }
}

impl fmt::Display for DecisionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Logs and counts a decision.
pub(super) fn log_decision(
    reason: DecisionReason,
    service: &ServiceName,
    term: LogTerm,
    member: Option<&MemberName>,
) {
    let member = member.map_or("-", MemberName::as_str);
    metrics::counter!("rudder_succession_decisions", "reason" => reason.as_str()).increment(1);
    log::info!(
        target: "rudder::succession",
        service:% = service, term:% = term, member = member, reason:% = reason;
        "succession decision"
    );
}
