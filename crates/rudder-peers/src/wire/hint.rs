//! Wire encoding of hints.

use super::error::WireError;
use crate::hints::{
    GroupHint, LeavingNotice, LeavingSubject, MemberSample, PeerHint, RevisionHint, SuspicionVote,
};
use rudder_core::{LogStamp, LogTerm, MemberRole, MemberStatus};
use serde::{Deserialize, Serialize};
use std::time::Duration;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum WireHint {
    Group { service: String, term: u64, primary: String, stamp: WireStamp, age_ms: Option<u64> },
    Sample { service: String, member: String, status: WireStatus, age_ms: Option<u64> },
    Vote(WireVote),
    LeavingInstance { instance: String },
    LeavingMember { service: String, member: String },
    Revision { number: u64 },
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireStamp {
    term: u64,
    position: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireStatus {
    primary: bool,
    accepted: u64,
    received: WireStamp,
    applied: WireStamp,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireVote {
    service: String,
    member: String,
    observer: String,
    domain: String,
    term: u64,
    number: u64,
    suspected: bool,
}

impl From<&PeerHint> for WireHint {
    fn from(hint: &PeerHint) -> Self {
        match hint {
            PeerHint::Group(hint) => Self::Group {
                service: hint.service.to_string(),
                term: hint.term.0,
                primary: hint.primary.to_string(),
                stamp: hint.stamp.into(),
                age_ms: hint.age.map(to_millis),
            },
            PeerHint::Sample(sample) => Self::Sample {
                service: sample.service.to_string(),
                member: sample.member.to_string(),
                status: sample.status.into(),
                age_ms: sample.age.map(to_millis),
            },
            PeerHint::Vote(vote) => Self::Vote(vote.into()),
            PeerHint::Leaving(LeavingNotice { subject }) => match subject {
                LeavingSubject::Instance(instance) => {
                    Self::LeavingInstance { instance: instance.to_string() }
                }
                LeavingSubject::Member(service, member) => {
                    Self::LeavingMember { service: service.to_string(), member: member.to_string() }
                }
            },
            PeerHint::Revision(hint) => Self::Revision { number: hint.number },
        }
    }
}

impl TryFrom<WireHint> for PeerHint {
    type Error = WireError;

    fn try_from(wire: WireHint) -> Result<Self, WireError> {
        Ok(match wire {
            WireHint::Group { service, term, primary, stamp, age_ms } => Self::Group(GroupHint {
                service: service.parse()?,
                term: LogTerm(term),
                primary: primary.parse()?,
                stamp: stamp.into(),
                age: age_ms.map(Duration::from_millis),
            }),
            WireHint::Sample { service, member, status, age_ms } => Self::Sample(MemberSample {
                service: service.parse()?,
                member: member.parse()?,
                status: status.into(),
                age: age_ms.map(Duration::from_millis),
            }),
            WireHint::Vote(vote) => Self::Vote(vote.try_into()?),
            WireHint::LeavingInstance { instance } => Self::Leaving(LeavingNotice {
                subject: LeavingSubject::Instance(instance.parse()?),
            }),
            WireHint::LeavingMember { service, member } => Self::Leaving(LeavingNotice {
                subject: LeavingSubject::Member(service.parse()?, member.parse()?),
            }),
            WireHint::Revision { number } => Self::Revision(RevisionHint { number }),
        })
    }
}

impl From<&SuspicionVote> for WireVote {
    fn from(vote: &SuspicionVote) -> Self {
        Self {
            service: vote.service.to_string(),
            member: vote.member.to_string(),
            observer: vote.observer.to_string(),
            domain: vote.domain.to_string(),
            term: vote.term.0,
            number: vote.number,
            suspected: vote.suspected,
        }
    }
}

impl TryFrom<WireVote> for SuspicionVote {
    type Error = WireError;

    fn try_from(wire: WireVote) -> Result<Self, WireError> {
        Ok(Self {
            service: wire.service.parse()?,
            member: wire.member.parse()?,
            observer: wire.observer.parse()?,
            domain: wire.domain.parse()?,
            term: LogTerm(wire.term),
            number: wire.number,
            suspected: wire.suspected,
        })
    }
}

impl From<LogStamp> for WireStamp {
    fn from(stamp: LogStamp) -> Self {
        Self { term: stamp.term.0, position: stamp.position.0 }
    }
}

impl From<WireStamp> for LogStamp {
    fn from(wire: WireStamp) -> Self {
        Self::new(wire.term, wire.position)
    }
}

impl From<MemberStatus> for WireStatus {
    fn from(status: MemberStatus) -> Self {
        Self {
            primary: status.role == MemberRole::Primary,
            accepted: status.accepted.0,
            received: status.received.into(),
            applied: status.applied.into(),
        }
    }
}

impl From<WireStatus> for MemberStatus {
    fn from(wire: WireStatus) -> Self {
        Self {
            role: if wire.primary { MemberRole::Primary } else { MemberRole::Replica },
            accepted: LogTerm(wire.accepted),
            received: wire.received.into(),
            applied: wire.applied.into(),
        }
    }
}

/// Converts an age to milliseconds, rounded up because an age is an upper bound.
fn to_millis(age: Duration) -> u64 {
    u64::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
