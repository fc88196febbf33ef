//! The hints that instances tell each other. None of them is proof; each only says what to try
//! first.

use rudder_core::{
    DomainName, InstanceName, LogStamp, LogTerm, MemberName, MemberStatus, ServiceName, plain_data,
};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A hint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerHint {
    /// Who is primary of a group.
    Group(GroupHint),
    /// What a member said about itself.
    Sample(MemberSample),
    /// Whether an observer suspects a member.
    Vote(SuspicionVote),
    /// An instance or a member is leaving.
    Leaving(LeavingNotice),
    /// A settings revision has been accepted.
    Revision(RevisionHint),
}

plain_data! {
    /// Who is primary of a group, and how recently that was confirmed.
    pub struct GroupHint {
        /// The group.
        pub service: ServiceName,
        /// The term of the primary.
        pub term: LogTerm,
        /// The primary.
        pub primary: MemberName,
        /// The last entry of the primary's log when it was confirmed.
        pub stamp: LogStamp,
        /// An upper bound of the time since the confirmation; none if no bound is known.
        pub age: Option<Duration>,
    }
}

plain_data! {
    /// What a member said about itself.
    pub struct MemberSample {
        /// The member's group.
        pub service: ServiceName,
        /// The member.
        pub member: MemberName,
        /// What it said.
        pub status: MemberStatus,
        /// An upper bound of the time since it said so; none if no bound is known.
        pub age: Option<Duration>,
    }
}

plain_data! {
    /// Whether an observer suspects a member.
    pub struct SuspicionVote {
        /// The member's group.
        pub service: ServiceName,
        /// The member.
        pub member: MemberName,
        /// The instance that observed it.
        pub observer: InstanceName,
        /// The failure domain of that instance.
        pub domain: DomainName,
        /// The term at which the member was observed.
        pub term: LogTerm,
        /// Grows with each vote of this observer about this member, so that an older vote that
        /// arrives late never replaces a newer one.
        pub number: u64,
        /// Whether it is suspected.
        pub suspected: bool,
    }
}

plain_data! {
    /// Something is leaving and gets no new work.
    pub struct LeavingNotice {
        /// What is leaving.
        pub subject: LeavingSubject,
    }
}

/// What is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeavingSubject {
    /// An instance.
    Instance(InstanceName),
    /// A member of a group.
    Member(ServiceName, MemberName),
}

plain_data! {
    /// The greatest settings revision known to have been accepted.
    #[derive(Copy)]
    pub struct RevisionHint {
        /// The revision's number.
        pub number: u64,
    }
}

plain_data! {
    /// A hint as it was received.
    pub struct HintMessage {
        /// The instance that passed it on, which need not be where it began.
        pub from: InstanceName,
        /// The hint, its age counted up to this moment.
        pub hint: PeerHint,
    }
}

/// What a hint is about. A board keeps the newest hint for each key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum HintKey {
    Revision,
    Leaving(LeavingSubject),
    Vote(ServiceName, MemberName, InstanceName),
    Group(ServiceName),
    Sample(ServiceName, MemberName),
}

/// How a hint travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HintUrgency {
    /// Pushed at once and passed on by every instance that hears it for the first time.
    Urgent,
    /// Told by its first holder only, in answers, as far as the budget allows.
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

    /// The same hint, `elapsed` later; an age that has no bound stays without one.
    pub(crate) fn aged(mut self, elapsed: Duration) -> Self {
        if let Some(age) = self.age_mut() {
            *age = age.map(|age| age.saturating_add(elapsed));
        }
        self
    }

    /// The same hint without a bound on its age.
    pub(crate) fn without_age_bound(mut self) -> Self {
        if let Some(age) = self.age_mut() {
            *age = None;
        }
        self
    }

    /// How this hint travels, given what was known before it; none if it is not news.
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

    /// A digest of the group and its term; zero for hints of other kinds.
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
