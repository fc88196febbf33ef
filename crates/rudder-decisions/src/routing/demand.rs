//! Input and output types of the routing of reads.

use rudder_core::{DomainName, LogStamp, MemberName, MemberRole, plain_data};
use std::fmt;
use std::time::Duration;

plain_data! {
    /// Requirements of a read.
    pub struct ReadDemand {
        /// Minimum log stamp (term and position) that the read has to see, if its session has one.
        pub floor: Option<LogStamp>,
        /// Time since the floor was written, as far as this instance knows; zero if unknown.
        pub floor_age: Duration,
        /// Maximum staleness that the caller accepts.
        pub max_staleness: Duration,
        /// Failure domain of this instance.
        pub domain: DomainName,
        /// Maximum wait for a replica to catch up.
        pub wait_max: Duration,
    }
}

/// Health of a member, which decides whether it may get work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberHealth {
    /// Responds.
    #[default]
    Ready,
    /// Has not responded recently; used only if no other member may serve.
    Suspect,
    /// Draining: gets no new work.
    Leaving,
    /// Known not to respond.
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

/// Share of its usual work that a member gets, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberWeight(u16);

impl MemberWeight {
    /// Full share of its usual work.
    pub const FULL: Self = Self(1000);

    /// Creates a weight of `permille` thousandths, at most 1000.
    ///
    /// ```
    /// use rudder_decisions::MemberWeight;
    /// assert_eq!(MemberWeight::new(2000), MemberWeight::FULL);
    /// ```
    #[must_use]
    pub fn new(permille: u16) -> Self {
        Self(permille.min(Self::FULL.0))
    }

    /// Returns the weight in thousandths.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::MemberWeight::FULL.permille(), 1000);
    /// ```
    #[must_use]
    pub fn permille(self) -> u16 {
        self.0
    }

    /// Returns the smaller of two weights, for example that of an outlier tracker and that of a
    /// ramp.
    ///
    /// ```
    /// use rudder_decisions::MemberWeight;
    /// let weight = MemberWeight::FULL.min_with(MemberWeight::new(200));
    /// assert_eq!(weight.permille(), 200);
    /// ```
    #[must_use]
    pub fn min_with(self, other: Self) -> Self {
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
    /// This instance's view of one member. Any part of it may be out of date.
    pub struct MemberView {
        /// Name of the member.
        pub name: MemberName,
        /// Last known role.
        pub role: MemberRole,
        /// Failure domain of the member.
        pub domain: DomainName,
        /// Last stamp that its reads are known to include.
        pub applied: LogStamp,
        /// Maximum age of the data that it returns, or `None` if unknown.
        pub age: Option<Duration>,
        /// Usual lag behind the primary.
        pub lag: Duration,
        /// Statements of this instance that run at the member or wait for it at this instance.
        pub in_flight: u32,
        /// Number of statements that it runs concurrently, for all instances together.
        pub slots: u32,
        /// Number of instances that send it work, including this one.
        pub sending_instances: u32,
        /// Expected time of a statement at the member, without the link.
        pub service: Duration,
        /// Round trip of the link plus the cost of its use, expressed as time.
        pub link_cost: Duration,
        /// Health of the member.
        pub health: MemberHealth,
        /// Share of its usual work that it gets.
        pub weight: MemberWeight,
    }
}

/// Route of a read. Indexes refer to the slice of views that was passed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadRoute {
    /// Send it to this replica now.
    Replica(usize),
    /// Send it to this replica once the replica has caught up; choose again after this time.
    WaitFor(usize, Duration),
    /// Send it to the primary.
    Primary(usize),
    /// Refuse it: no member may serve it.
    Refuse,
}

plain_data! {
    /// Route of a read and the reason for it.
    #[derive(Copy)]
    pub struct RouteChoice {
        /// Route of the read.
        pub route: ReadRoute,
        /// Reason code for the log line and the metric.
        pub reason: RouteReason,
    }
}

/// Reason code for the route of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RouteReason {
    /// Chosen among several fresh replicas for the least expected time.
    LeastTime,
    /// The only fresh replica.
    OnlyFresh,
    /// A replica is expected to catch up within the permitted wait.
    CatchUp,
    /// No replica has applied the floor of the session.
    FloorAhead,
    /// No replica is known to be within the staleness bound.
    TooOld,
    /// The fresh replicas are so loaded that the primary is expected to respond much sooner.
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
