//! Router of reads: to a replica, to a replica once it has caught up, or to the primary.
//!
//! Load pattern: reads over old and new hardware at different distances, with replicas that lag.
//! Round robin gives a member at 0.4 of the others' speed as much work as them, so its queue grows
//! without bound at a load that the group as a whole can serve, and reads that the replicas may
//! serve queue behind writes at the primary.
//!
//! Members are ranked by least expected time: link, plus service time, plus the wait for a slot.
//! Thresholds: the primary takes a read that a replica may serve only if the wait for a slot of the
//! best replica takes more than [`SPILL_WAIT_FACTOR`] service times and the primary has a free slot
//! and is expected to respond sooner. The share of reads on replicas is the primary goal, so such
//! spilling has to stay the exception, and distance is no reason for it; without spilling, a burst
//! that fills the replicas would queue while slots of the primary are idle.

use super::demand::{MemberHealth, MemberView, ReadDemand, ReadRoute, RouteChoice, RouteReason};
use rand::{Rng, RngExt};
use rudder_core::MemberRole;
use std::time::Duration;

/// Expected wait for a slot of the best replica, in service times, above which the primary takes a
/// read that the replica may serve.
const SPILL_WAIT_FACTOR: f64 = 2.0;

/// Number of the primary's slots that spilled reads leave free.
const SPILL_SLOT_RESERVE: u32 = 1;

/// Expected times within this fraction of the least one count as equal. Members in the same failure
/// domain are then preferred, to save the costly links, and the choice among the rest is random:
/// instances with the same view would otherwise all choose the same member.
const TIE_FRACTION: f64 = 0.1;

/// Minimum wait for a replica to catch up: choosing again sooner costs more than it gains.
const CATCH_UP_MIN: Duration = Duration::from_millis(1);

/// Reason why a replica cannot serve a read now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadObstacle {
    Floor,
    Age,
}

/// Chooses the member for a read. It holds no state; all measurements are part of the views.
///
/// ```
/// use rand::SeedableRng;
/// use rudder_decisions::{ReadDemand, ReadRoute, ReadRouter, RouteReason};
/// use std::time::Duration;
/// let demand = ReadDemand {
///     floor: None,
///     floor_age: Duration::ZERO,
///     max_staleness: Duration::from_secs(1),
///     domain: "kigali-a".parse()?,
///     wait_max: Duration::from_millis(50),
/// };
/// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
/// let choice = ReadRouter::new().choose(&demand, &[], &mut rng);
/// assert_eq!(choice.route, ReadRoute::Refuse);
/// assert_eq!(choice.reason, RouteReason::NoMember);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadRouter;

/// Interface of routing policies, which baseline policies implement as well.
pub trait ReadPolicy: Send + Sync {
    /// Chooses the route of a read; the views may be out of date.
    fn choose(&self, demand: &ReadDemand, members: &[MemberView], rng: &mut dyn Rng)
    -> RouteChoice;
}

impl ReadPolicy for ReadRouter {
    fn choose(
        &self,
        demand: &ReadDemand,
        members: &[MemberView],
        rng: &mut dyn Rng,
    ) -> RouteChoice {
        Self::choose(self, demand, members, rng)
    }
}

impl ReadRouter {
    /// Creates a router.
    ///
    /// ```
    /// let _router = rudder_decisions::ReadRouter::new();
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self
    }

    /// Chooses the route of a read.
    ///
    /// The views may be out of date: the stamp that the member returns with its response decides
    /// whether the response is used.
    ///
    /// ```
    /// use rand::SeedableRng;
    /// use rudder_decisions::{ReadDemand, ReadRoute, ReadRouter};
    /// use std::time::Duration;
    /// let demand = ReadDemand {
    ///     floor: None,
    ///     floor_age: Duration::ZERO,
    ///     max_staleness: Duration::ZERO,
    ///     domain: "bangor".parse()?,
    ///     wait_max: Duration::ZERO,
    /// };
    /// let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    /// let choice = ReadRouter::new().choose(&demand, &[], &mut rng);
    /// assert_eq!(choice.reason.to_string(), "no_member");
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn choose(
        &self,
        demand: &ReadDemand,
        members: &[MemberView],
        rng: &mut dyn Rng,
    ) -> RouteChoice {
        for health in [MemberHealth::Ready, MemberHealth::Suspect] {
            if let Some(choice) = choose_among(demand, members, health, rng) {
                return choice;
            }
        }
        RouteChoice { route: ReadRoute::Refuse, reason: RouteReason::NoMember }
    }
}

/// Returns the route among the members of one health, or `None` if none of them may serve.
fn choose_among(
    demand: &ReadDemand,
    members: &[MemberView],
    health: MemberHealth,
    rng: &mut dyn Rng,
) -> Option<RouteChoice> {
    let usable = |index: &usize| members[*index].health == health;
    let (primaries, replicas): (Vec<usize>, Vec<usize>) = (0..members.len())
        .filter(usable)
        .partition(|index| members[*index].role == MemberRole::Primary);
    let primary = primaries.first().copied();
    let fresh: Vec<usize> = replicas
        .iter()
        .copied()
        .filter(|index| obstacle(demand, &members[*index]).is_none())
        .collect();
    if !fresh.is_empty() {
        return Some(choose_fresh(demand, members, &fresh, primary, rng));
    }
    if let Some(choice) = choose_catching_up(demand, members, &replicas) {
        return Some(choice);
    }
    let reason = if replicas.is_empty() {
        RouteReason::NoReplica
    } else if replicas
        .iter()
        .any(|&index| obstacle(demand, &members[index]) == Some(ReadObstacle::Age))
    {
        RouteReason::TooOld
    } else {
        RouteReason::FloorAhead
    };
    primary.map(|index| RouteChoice { route: ReadRoute::Primary(index), reason })
}

/// Chooses the fresh replica with the least expected time, or the primary if all are too busy.
fn choose_fresh(
    demand: &ReadDemand,
    members: &[MemberView],
    fresh: &[usize],
    primary: Option<usize>,
    rng: &mut dyn Rng,
) -> RouteChoice {
    let candidates = sample_by_weight(members, fresh, rng);
    let best = least_time(demand, members, &candidates, rng);
    if let Some(primary) = primary
        && should_spill(&members[primary], &members[best])
    {
        return RouteChoice {
            route: ReadRoute::Primary(primary),
            reason: RouteReason::ReplicasBusy,
        };
    }
    let reason = if fresh.len() == 1 { RouteReason::OnlyFresh } else { RouteReason::LeastTime };
    RouteChoice { route: ReadRoute::Replica(best), reason }
}

/// Chooses the replica that is expected to catch up first, if that is within the permitted wait.
fn choose_catching_up(
    demand: &ReadDemand,
    members: &[MemberView],
    replicas: &[usize],
) -> Option<RouteChoice> {
    let waits = replicas
        .iter()
        .copied()
        .filter(|&index| obstacle(demand, &members[index]) == Some(ReadObstacle::Floor))
        .map(|index| (members[index].lag.saturating_sub(demand.floor_age), index));
    let (wait, index) = waits.min()?;
    let wait = wait.max(CATCH_UP_MIN);
    (wait <= demand.wait_max).then_some(RouteChoice {
        route: ReadRoute::WaitFor(index, wait),
        reason: RouteReason::CatchUp,
    })
}

/// Returns the reason why `member` cannot serve the read now. Age is checked first, as waiting does
/// not remove it.
fn obstacle(demand: &ReadDemand, member: &MemberView) -> Option<ReadObstacle> {
    if member.age.is_none_or(|age| age > demand.max_staleness) {
        return Some(ReadObstacle::Age);
    }
    if demand.floor.is_some_and(|floor| member.applied < floor) {
        return Some(ReadObstacle::Floor);
    }
    None
}

/// Drops each candidate with a probability of one minus its weight, but keeps at least one.
fn sample_by_weight(members: &[MemberView], fresh: &[usize], rng: &mut dyn Rng) -> Vec<usize> {
    let sampled: Vec<usize> = fresh
        .iter()
        .copied()
        .filter(|&index| {
            let permille = u32::from(members[index].weight.permille());
            permille >= 1000 || rng.random_range(0..1000) < permille
        })
        .collect();
    if !sampled.is_empty() {
        return sampled;
    }
    let heaviest = fresh.iter().copied().max_by_key(|&index| members[index].weight);
    heaviest.into_iter().collect()
}

/// Chooses the candidate with the least expected time; among near ties one in the same failure
/// domain.
fn least_time(
    demand: &ReadDemand,
    members: &[MemberView],
    candidates: &[usize],
    rng: &mut dyn Rng,
) -> usize {
    let times = candidates.iter().map(|&index| expected_time_s(&members[index]));
    let bound = times.fold(f64::INFINITY, f64::min) * (1.0 + TIE_FRACTION);
    let mut ties: Vec<usize> = candidates.to_vec();
    ties.retain(|&index| expected_time_s(&members[index]) <= bound);
    let is_near = |index: &usize| members[*index].domain == demand.domain;
    if ties.iter().any(is_near) {
        ties.retain(is_near);
    }
    ties[rng.random_range(0..ties.len())]
}

/// Returns the estimated number of statements that the member has in flight from all instances.
///
/// An instance sees only its own requests. It assumes that every other instance loads the member as
/// much, so that the choice reacts before its own requests alone fill the member.
fn estimated_load(member: &MemberView) -> u32 {
    member.in_flight.saturating_mul(member.sending_instances.max(1))
}

/// Returns the sum of link, service time and wait for a slot, in seconds.
fn expected_time_s(member: &MemberView) -> f64 {
    member.link_cost.as_secs_f64() + member.service.as_secs_f64() * (1.0 + expected_waits(member))
}

/// Returns the expected wait for a slot, in service times.
fn expected_waits(member: &MemberView) -> f64 {
    let slots = member.slots.max(1);
    let ahead = estimated_load(member).saturating_add(1).saturating_sub(slots);
    f64::from(ahead) / f64::from(slots)
}

/// Whether the primary should take a read that `replica` may serve: only because of the replica's
/// queue, not because of distance or slow hardware.
fn should_spill(primary: &MemberView, replica: &MemberView) -> bool {
    let has_room = estimated_load(primary).saturating_add(SPILL_SLOT_RESERVE) < primary.slots;
    let queues = expected_waits(replica) > SPILL_WAIT_FACTOR;
    has_room && queues && expected_time_s(primary) < expected_time_s(replica)
}
