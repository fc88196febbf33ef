//! Routing policies that are compared: the proxies' own and the baselines.

use arbutusrudder::ProxyPolicies;
use rand::{Rng, RngExt};
use rudder_core::MemberRole;
use rudder_decisions::{MemberView, ReadDemand, ReadPolicy, ReadRoute, RouteChoice, RouteReason};
use std::fmt;
use std::sync::Arc;

/// Policy to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyChoice {
    /// The proxies' own policy.
    Current,
    /// Picks a random replica that is fresh enough, without admission limits.
    RoundRobin,
    /// Sends every read to the primary, without admission limits.
    PrimaryOnly,
}

impl fmt::Display for PolicyChoice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Current => "current",
            Self::RoundRobin => "round_robin",
            Self::PrimaryOnly => "primary_only",
        })
    }
}

impl PolicyChoice {
    /// Returns the policies that the proxies run with.
    pub(crate) fn policies(self) -> ProxyPolicies {
        match self {
            Self::Current => ProxyPolicies::default(),
            Self::RoundRobin => {
                ProxyPolicies { reads: Arc::new(RandomFreshReplica), admission_limits: false }
            }
            Self::PrimaryOnly => {
                ProxyPolicies { reads: Arc::new(AlwaysPrimary), admission_limits: false }
            }
        }
    }

    /// Returns `in_flight_max` and `queue_wait` of each kind of caller; for baselines they are too
    /// high to take effect.
    pub(crate) fn caller_limits(self) -> (u32, &'static str) {
        match self {
            Self::Current => (400, "3s"),
            Self::RoundRobin | Self::PrimaryOnly => (100_000, "30s"),
        }
    }
}

struct RandomFreshReplica;

impl ReadPolicy for RandomFreshReplica {
    fn choose(
        &self,
        demand: &ReadDemand,
        members: &[MemberView],
        rng: &mut dyn Rng,
    ) -> RouteChoice {
        let is_eligible = |view: &MemberView| {
            let stale = view.age.is_none_or(|age| age > demand.max_staleness);
            view.role == MemberRole::Replica
                && !stale
                && demand.floor.is_none_or(|floor| view.applied >= floor)
        };
        let replicas: Vec<usize> =
            (0..members.len()).filter(|&index| is_eligible(&members[index])).collect();
        if replicas.is_empty() {
            return primary_of(members);
        }
        let index = replicas[rng.random_range(0..replicas.len())];
        RouteChoice { route: ReadRoute::Replica(index), reason: RouteReason::LeastTime }
    }
}

struct AlwaysPrimary;

impl ReadPolicy for AlwaysPrimary {
    fn choose(
        &self,
        _demand: &ReadDemand,
        members: &[MemberView],
        _rng: &mut dyn Rng,
    ) -> RouteChoice {
        primary_of(members)
    }
}

fn primary_of(members: &[MemberView]) -> RouteChoice {
    let primary = members.iter().position(|view| view.role == MemberRole::Primary);
    match primary {
        Some(index) => {
            RouteChoice { route: ReadRoute::Primary(index), reason: RouteReason::NoReplica }
        }
        None => RouteChoice { route: ReadRoute::Refuse, reason: RouteReason::NoMember },
    }
}
