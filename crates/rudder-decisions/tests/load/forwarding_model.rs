//! Instances, members, accounts and statements of a simulated fleet.

use rudder_core::{AccountName, MemberName, ServiceName};
use rudder_decisions::{
    ConnectionHeadroom, HolderBudget, HolderCandidate, InstanceCapacity, NodePlace, PlaceDistance,
};
use std::collections::VecDeque;

pub(crate) const INSTANCES: usize = 88;
pub(crate) const ACCOUNTS: usize = 86;
pub(crate) const CONNECTIONS_MAX: u32 = 70;
pub(crate) const DOMAINS: usize = 6;
const SLOTS: usize = 4;

/// Load on the simulated fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetLoad {
    /// Whether the decisions on forwarding are used; otherwise each instance dials itself.
    pub(crate) forwards: bool,
    /// Exponent of the accounts' sizes: the n-th account has a size of 1 / n to this power.
    pub(crate) skew: f64,
    /// Statements per second.
    pub(crate) rate: f64,
    /// Share of all statements that a single service gets from the largest account in addition.
    pub(crate) surge: f64,
}

/// What happened to the statements of a simulated load.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetResult {
    pub(crate) served: u32,
    pub(crate) dials: u32,
    /// Connections that members refused.
    pub(crate) refused: u32,
    /// Greatest number of connections of one member.
    pub(crate) peak: u32,
    pub(crate) declined: u32,
    /// Statements that ran nowhere because all holders were overloaded.
    pub(crate) rejected: u32,
    /// Mean time until the response.
    pub(crate) mean_ms: f64,
    /// Instances that served the largest account at the first member.
    pub(crate) holders_of_largest: Vec<usize>,
    /// Statements of other accounts, and those of them that ran at the first holder.
    pub(crate) others: (u32, u32),
}

impl FleetResult {
    pub(crate) fn dials_per_statement(&self) -> f64 {
        f64::from(self.dials) / f64::from(self.served)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Statement {
    pub(crate) at_us: u64,
    pub(crate) origin: usize,
    pub(crate) account: usize,
    pub(crate) member: usize,
    pub(crate) work_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A statement is with its origin.
    Arrive(Statement),
    /// A statement is with the instance that is to run it.
    Serve(usize, Statement),
    /// A declined statement is back at its origin.
    Declined(usize, Statement),
    /// The member's response is with the instance.
    Done(usize, Statement),
    Sweep,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Pool {
    /// Account and time of the last use, the oldest first.
    pub(crate) idle: Vec<(usize, u64)>,
    pub(crate) open: u32,
    pub(crate) budget: HolderBudget,
    pub(crate) headroom: ConnectionHeadroom,
    pub(crate) waiting: VecDeque<Statement>,
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) place: NodePlace,
    pub(crate) open: u32,
    pub(crate) slots_free_at: [u64; SLOTS],
}

impl Member {
    /// Occupies the slot that is free first; returns the end.
    pub(crate) fn occupy(&mut self, at: u64, work_us: u64) -> u64 {
        let free_at = self.slots_free_at.iter_mut().min().expect("a slot");
        *free_at = at.max(*free_at) + work_us;
        *free_at
    }
}

pub(crate) fn place(domain: usize) -> NodePlace {
    NodePlace {
        domain: format!("domain-{domain}").parse().expect("a name"),
        region: format!("region-{}", domain / 2),
    }
}

pub(crate) fn candidates() -> Vec<HolderCandidate> {
    let capacity = |number: usize| InstanceCapacity([120, 250, 500, 300][number % 4]);
    let candidate = |number: usize| HolderCandidate {
        instance: format!("entry-{number:02}").parse().expect("a name"),
        place: place(number % DOMAINS),
        capacity: capacity(number / DOMAINS),
    };
    (0..INSTANCES).map(candidate).collect()
}

pub(crate) fn account(number: usize) -> AccountName {
    format!("account-{number}").parse().expect("a name")
}

pub(crate) fn service(number: usize) -> ServiceName {
    format!("service-{number}").parse().expect("a name")
}

pub(crate) fn member_name(number: usize) -> MemberName {
    format!("db-{number}").parse().expect("a name")
}

/// One-way latency between two places.
pub(crate) fn latency_of(distance: PlaceDistance) -> u64 {
    match distance {
        PlaceDistance::SameDomain => 300,
        PlaceDistance::SameRegion => 3_400,
        PlaceDistance::Elsewhere => 12_000,
    }
}
