//! Hints exchanged between instances. A hint is never proof; it only decides what to try first.

use rudder_core::{
    DomainName, InstanceName, LogStamp, LogTerm, MemberName, MemberStatus, ServiceName, plain_data,
};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerHint {
    /// Primary of a group.
    Group(GroupHint),
    /// Status that a member reported about itself.
    Sample(MemberSample),
    /// Vote of an observer on whether it suspects a member.
    Vote(SuspicionVote),
    /// An instance or a member is leaving.
    Leaving(LeavingNotice),
    /// A settings revision has been accepted.
    Revision(RevisionHint),
}

plain_data! {
    /// Primary of a group, and how recently it was confirmed.
    pub struct GroupHint {
        /// Group that the hint describes.
        pub service: ServiceName,
        /// Term of the primary.
        pub term: LogTerm,
        /// Name of the primary.
        pub primary: MemberName,
        /// Last log entry of the primary when it was confirmed.
        pub stamp: LogStamp,
        /// Upper bound of the time since the confirmation; none if no bound is known.
        pub age: Option<Duration>,
    }
}

plain_data! {
    /// Status that a member reported about itself.
    pub struct MemberSample {
        /// Group of the member.
        pub service: ServiceName,
        /// Name of the member.
        pub member: MemberName,
        /// Reported status.
        pub status: MemberStatus,
        /// Upper bound of the time since the report; none if no bound is known.
        pub age: Option<Duration>,
    }
}

plain_data! {
    /// Vote of an observer on whether it suspects a member.
    pub struct SuspicionVote {
        /// Group of the member.
        pub service: ServiceName,
        /// Name of the member.
        pub member: MemberName,
        /// Instance that observed the member.
        pub observer: InstanceName,
        /// Failure domain of the observer.
        pub domain: DomainName,
        /// Term in which the member was observed.
        pub term: LogTerm,
        /// Increases with each vote of this observer on this member, so that an older vote that
        /// arrives late never replaces a newer one.
        pub number: u64,
        /// Whether the observer suspects the member.
        pub suspected: bool,
    }
}

plain_data! {
    /// Notice that an instance or member is leaving and gets no new work.
    pub struct LeavingNotice {
        /// Instance or member that is leaving.
        pub subject: LeavingSubject,
    }
}

/// Instance or member that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingSubject {
    /// An instance.
    Instance(InstanceName),
    /// A member of a group.
    Member(ServiceName, MemberName),
}

plain_data! {
    /// Greatest settings revision known to have been accepted.
    #[derive(Copy)]
    pub struct RevisionHint {
        /// Number of the revision.
        pub number: u64,
    }
}

plain_data! {
    /// A received hint.
    pub struct HintMessage {
        /// Instance that sent the hint, which need not be its origin.
        pub from: InstanceName,
        /// The hint, with its age at the time of receipt.
        pub hint: PeerHint,
    }
}

/// Subject of a hint. The cache keeps the newest hint for each key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HintKey {
    Revision,
    Leaving(LeavingSubject),
    Vote(ServiceName, MemberName, InstanceName),
    Group(ServiceName),
    Sample(ServiceName, MemberName),
}

/// Way in which a hint is distributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HintUrgency {
    /// Pushed at once, and relayed by every instance that receives it for the first time.
    Urgent,
    /// Sent only by the instance that published it, in responses to heartbeats, as far as the
    /// budget allows.
    Routine,
}

impl PeerHint {
    pub(crate) fn key(&self) -> HintKey {
        match self {
            Self::Group(hint) => HintKey::Group(hint.service.clone()),
            Self::Sample(sample) => HintKey::Sample(sample.service.clone(), sample.member.clone()),
            Self::Vote(vote) => {
                HintKey::Vote(vote.service.clone(), vote.member.clone(), vote.observer.clone())
            }
            Self::Leaving(notice) => HintKey::Leaving(notice.subject.clone()),
            Self::Revision(_) => HintKey::Revision,
        }
    }

    /// Returns the hint with `elapsed` added to its age; an age without a bound stays without one.
    pub(crate) fn aged(mut self, elapsed: Duration) -> Self {
        if let Some(age) = self.age_mut() {
            *age = age.map(|age| age.saturating_add(elapsed));
        }
        self
    }

    /// Returns the hint without a bound on its age.
    pub(crate) fn without_age_bound(mut self) -> Self {
        if let Some(age) = self.age_mut() {
            *age = None;
        }
        self
    }

    /// Returns the urgency of this hint given the hint known before; none if it is not newer.
    pub(crate) fn urgency_after(&self, known: Option<&Self>) -> Option<HintUrgency> {
        match (self, known) {
            (Self::Group(_) | Self::Vote(_) | Self::Leaving(_) | Self::Revision(_), None) => {
                Some(HintUrgency::Urgent)
            }
            (Self::Sample(_), None) => Some(HintUrgency::Routine),
            (Self::Group(new), Some(Self::Group(old))) => new.urgency_after(old),
            (Self::Sample(new), Some(Self::Sample(old))) => new.urgency_after(old),
            (Self::Vote(new), Some(Self::Vote(old))) => {
                (new.number > old.number).then_some(HintUrgency::Urgent)
            }
            (Self::Revision(new), Some(Self::Revision(old))) => {
                (new.number > old.number).then_some(HintUrgency::Urgent)
            }
            _ => None,
        }
    }

    /// Returns a digest of the group and its term; zero for hints of other kinds.
    pub(crate) fn digest(&self) -> u32 {
        let Self::Group(hint) = self else { return 0 };
        let hash = xxh3_64_with_seed(hint.service.as_str().as_bytes(), hint.term.0);
        let [a, b, c, d, ..] = hash.to_le_bytes();
        u32::from_le_bytes([a, b, c, d])
    }

    fn age_mut(&mut self) -> Option<&mut Option<Duration>> {
        match self {
            Self::Group(hint) => Some(&mut hint.age),
            Self::Sample(sample) => Some(&mut sample.age),
            Self::Vote(_) | Self::Leaving(_) | Self::Revision(_) => None,
        }
    }
}

impl GroupHint {
    fn urgency_after(&self, old: &Self) -> Option<HintUrgency> {
        if self.term > old.term {
            return Some(HintUrgency::Urgent);
        }
        let newer = self.term == old.term
            && (self.stamp > old.stamp || self.stamp == old.stamp && fresher(self.age, old.age));
        newer.then_some(HintUrgency::Routine)
    }
}

impl MemberSample {
    fn urgency_after(&self, old: &Self) -> Option<HintUrgency> {
        let rank =
            |sample: &Self| (sample.status.accepted, sample.status.received, sample.status.applied);
        let newer = rank(self) > rank(old)
            || rank(self) == rank(old)
                && (fresher(self.age, old.age) || self.status.role != old.status.role);
        newer.then_some(HintUrgency::Routine)
    }
}

fn fresher(new: Option<Duration>, old: Option<Duration>) -> bool {
    match (new, old) {
        (Some(new), Some(old)) => new < old,
        (Some(_), None) => true,
        (None, _) => false,
    }
}
