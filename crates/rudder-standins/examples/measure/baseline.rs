//! The policies that are compared.

use arbutusrudder::ProxyPolicies;
use rand::{Rng, RngExt};
use rudder_core::MemberRole;
use rudder_decisions::{MemberView, ReadDemand, ReadPolicy, ReadRoute, RouteChoice, RouteReason};
use std::fmt;
use std::sync::Arc;

/// A policy to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyChoice {
    /// What the proxies do.
    Current,
    /// Any replica that may serve, by chance, and no limits.
    RoundRobin,
    /// Every read at the primary, and no limits.
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
    /// The rules that the proxies are given.
    pub(crate) fn policies(self) -> ProxyPolicies {
        match self {
            Self::Current => ProxyPolicies::default(),
            Self::RoundRobin => ProxyPolicies { reads: Arc::new(AnyFreshReplica), limits: false },
            Self::PrimaryOnly => ProxyPolicies { reads: Arc::new(AlwaysPrimary), limits: false },
        }
    }

    /// Requests of one kind at one proxy, and how long each waits.
    pub(crate) fn caller_bounds(self) -> (u32, &'static str) {
        match self {
            Self::Current => (400, "3s"),
            Self::RoundRobin | Self::PrimaryOnly => (100_000, "30s"),
        }
    }
}

struct AnyFreshReplica;

impl ReadPolicy for AnyFreshReplica {
    fn choose(
        &self,
        demand: &ReadDemand,
        members: &[MemberView],
        rng: &mut dyn Rng,
    ) -> RouteChoice {
        let fresh = |view: &MemberView| {
            let old = view.age.is_none_or(|age| age > demand.max_staleness);
            view.role == MemberRole::Replica
                && !old
                && demand.floor.is_none_or(|floor| view.applied >= floor)
        };
        let replicas: Vec<usize> =
            (0..members.len()).filter(|&index| fresh(&members[index])).collect();
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
