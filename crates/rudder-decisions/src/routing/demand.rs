//! The inputs and outputs of a read's routing decision.

use rudder_core::{DomainName, LogStamp, MemberName, MemberRole, plain_data};
use std::fmt;
use std::time::Duration;

plain_data! {
    /// What a read demands.
    pub struct ReadDemand {
        /// The least stamp that the session must see, if it has one.
        pub floor: Option<LogStamp>,
        /// How long ago the floor was written, as far as this instance knows; zero if unknown.
        pub floor_age: Duration,
        /// The greatest age of the data that the caller accepts.
        pub bound: Duration,
        /// The failure domain of this instance.
        pub domain: DomainName,
        /// How long the read may wait for a replica to catch up.
        pub wait_max: Duration,
    }
}

/// Whether a member may get work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberHealth {
    /// Answers.
    #[default]
    Ready,
    /// Has not answered lately; used only when nothing else may serve.
    Suspect,
    /// Leaving: no new work.
    Leaving,
    /// Known not to answer.
    Down,
}

impl fmt::Display for MemberHealth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ready => "ready",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Down => "down",
        })
    }
}

/// The share of its usual work that a member gets, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberWeight(u16);

impl MemberWeight {
    /// The whole of its usual work.
    pub const FULL: Self = Self(1000);

    /// A weight of `permille` thousandths, at most 1000.
    ///
    /// ```
    /// use rudder_decisions::MemberWeight;
    /// assert_eq!(MemberWeight::new(2000), MemberWeight::FULL);
    /// ```
    #[must_use]
    pub fn new(permille: u16) -> Self {
        Self(permille.min(Self::FULL.0))
    }

    /// The weight in thousandths.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::MemberWeight::FULL.permille(), 1000);
    /// ```
    #[must_use]
    pub fn permille(self) -> u16 {
        self.0
    }

    /// The smaller of two weights; use it to join the verdicts of an outlier tracker and a ramp.
    ///
    /// ```
    /// use rudder_decisions::MemberWeight;
    /// let weight = MemberWeight::FULL.and(MemberWeight::new(200));
    /// assert_eq!(weight.permille(), 200);
    /// ```
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.min(other)
    }
}

impl Default for MemberWeight {
    fn default() -> Self {
        Self::FULL
    }
}

impl fmt::Display for MemberWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/1000", self.0)
    }
}

plain_data! {
    /// What this instance believes about one member. All of it may be out of date.
    pub struct MemberView {
        /// The member's name.
        pub name: MemberName,
        /// The role that it is believed to have.
        pub role: MemberRole,
        /// The failure domain that it stands in.
        pub domain: DomainName,
        /// The last stamp that its reads are known to show.
        pub applied: LogStamp,
        /// The greatest age that its answer can have, or `None` if that is not known.
        pub age: Option<Duration>,
        /// How far it usually trails the primary.
        pub lag: Duration,
        /// Statements of this instance that it runs or that wait for it here.
        pub in_flight: u32,
        /// Statements that it runs at the same time, for all instances together.
        pub slots: u32,
        /// Instances that send it work, this one included.
        pub sharers: u32,
        /// The expected time of a statement there, without the link.
        pub service: Duration,
        /// The link's round trip, plus what its use costs, expressed as time.
        pub link: Duration,
        /// Whether it may get work.
        pub health: MemberHealth,
        /// The share of its usual work that it gets.
        pub weight: MemberWeight,
    }
}

/// Where a read goes. Indexes point into the slice of views that was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRoute {
    /// To this replica, now.
    Replica(usize),
    /// To this replica, once it has caught up; ask again after this long.
    WaitFor(usize, Duration),
    /// To the primary.
    Primary(usize),
    /// Nowhere: no member may serve it.
    Refuse,
}

plain_data! {
    /// Where a read goes, and why.
    #[derive(Copy)]
    pub struct RouteChoice {
        /// Where it goes.
        pub route: ReadRoute,
        /// Why, for the log line and the metric.
        pub reason: RouteReason,
    }
}

/// Why a read goes where it goes, as a fixed word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteReason {
    /// The fresh replica with the least expected time.
    LeastTime,
    /// The only fresh replica.
    OnlyFresh,
    /// A replica is expected to catch up within the allowed wait.
    CatchUp,
    /// No replica holds what the session must see.
    FloorAhead,
    /// No replica is known to be young enough for the staleness bound.
    TooOld,
    /// The fresh replicas are so loaded that the primary answers much sooner.
    ReplicasBusy,
    /// No replica may get work.
    NoReplica,
    /// Neither a fresh replica nor a primary may get work.
    NoMember,
}

impl fmt::Display for RouteReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LeastTime => "least_time",
            Self::OnlyFresh => "only_fresh",
            Self::CatchUp => "catch_up",
            Self::FloorAhead => "floor_ahead",
            Self::TooOld => "too_old",
            Self::ReplicasBusy => "replicas_busy",
            Self::NoReplica => "no_replica",
            Self::NoMember => "no_member",
        })
    }
}
