//! Division of an endpoint's connections among a changing number of instances.
//!
//! Load pattern: 3 to 5 slots and 30 to 40 connections per endpoint for all instances together.
//! Without a division the first instances take all connections and the last ones get none, and
//! after a failover no instance can reach the new primary to free connections. Unless shares shrink
//! before others grow, they add up to more than the total while instances learn of a change at
//! different times, and the endpoint refuses connections.
//!
//! Thresholds: [`RESERVED_CONNECTIONS`] connections are excluded from the division, for control
//! statements of the keepers (the instances that monitor a group); a greater share applies only
//! after [`GROW_DELAY`], which is longer than the few seconds that a change of the instance list
//! takes to reach all instances.

use rudder_core::{ConnectionCount, InstanceName, ServiceName};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Connections reserved for control statements: one for each of three keepers.
const RESERVED_CONNECTIONS: u32 = 3;

/// Minimum number of connections of a holder, an instance that connects to the endpoint itself: one
/// for reads, one for writes, and one spare.
const HOLDER_CONNECTIONS_MIN: u32 = 3;

/// Delay before a greater share applies.
const GROW_DELAY: Duration = Duration::from_secs(8);

/// Connections that every holder gets regardless of its demand, so that none has to wait until the
/// others shrink before it can serve its first caller.
const GUARANTEED_CONNECTIONS: u32 = 1;

/// Part of the demand of all holders that one holder has, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DemandPart(u32);

impl DemandPart {
    /// Returns the part of `own` in `total`, both in the same unit; an even part among `holders` if
    /// there is no demand.
    ///
    /// ```
    /// use rudder_decisions::DemandPart;
    /// assert_eq!(DemandPart::of(30, 40, 7).permille(), 750);
    /// assert_eq!(DemandPart::of(0, 0, 4).permille(), 250);
    /// ```
    #[must_use]
    pub fn of(own: u32, total: u32, holders: u32) -> Self {
        if total == 0 {
            return Self(1000 / holders.max(1));
        }
        let permille = u64::from(own) * 1000 / u64::from(total);
        Self(u32::try_from(permille.min(1000)).unwrap_or(1000))
    }

    /// Returns the part in thousandths.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::DemandPart::of(1, 2, 2).permille(), 500);
    /// ```
    #[must_use]
    pub fn permille(self) -> u32 {
        self.0
    }
}

/// Share of one endpoint's connections that this instance may hold.
///
/// ```
/// use rudder_core::ConnectionCount;
/// use rudder_decisions::{DemandPart, HolderShare};
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut share = HolderShare::new(ConnectionCount(30), 7, now);
/// assert_eq!(share.current(now), 3);
/// share.set_holders(9, DemandPart::of(0, 0, 9), now);
/// assert_eq!(share.current(now), 2);
/// share.set_holders(7, DemandPart::of(20, 35, 7), now);
/// assert_eq!(share.current(now), 2);
/// assert_eq!(share.current(now + Duration::from_secs(8)), 12);
/// ```
#[derive(Clone, Debug)]
pub struct HolderShare {
    connections: ConnectionCount,
    current: u32,
    next: u32,
    changed: Instant,
}

impl HolderShare {
    /// Creates the even share of one of `holders` instances in an endpoint's connections. It
    /// applies at once: if this instance is in the instance list, the others have reduced their
    /// shares for it; if it is not, it refuses requests.
    ///
    /// See the example of [`HolderShare`].
    #[must_use]
    pub fn new(connections: ConnectionCount, holders: u32, now: Instant) -> Self {
        let share = share_of(connections, holders, DemandPart::of(0, 0, holders));
        Self { connections, current: share, next: share, changed: now }
    }

    /// Sets a changed number of holders or a changed part of their demand. A smaller share applies
    /// at once.
    ///
    /// See the example of [`HolderShare`].
    pub fn set_holders(&mut self, holders: u32, part: DemandPart, now: Instant) {
        self.current = self.current(now);
        let next = share_of(self.connections, holders, part);
        if next != self.next {
            self.next = next;
            self.changed = now;
        }
        self.current = self.current.min(next);
    }

    /// Returns the number of connections that this instance may hold now.
    ///
    /// See the example of [`HolderShare`].
    #[must_use]
    pub fn current(&self, now: Instant) -> u32 {
        if now.duration_since(self.changed) >= GROW_DELAY { self.next } else { self.current }
    }
}

/// Returns how many instances may hold connections to an endpoint, so that each has at least three.
/// Other instances forward their requests to a holder.
///
/// ```
/// use rudder_core::ConnectionCount;
/// assert_eq!(rudder_decisions::holders_max(ConnectionCount(30)), 9);
/// ```
#[must_use]
pub fn holders_max(connections: ConnectionCount) -> usize {
    let holders = connections.0.saturating_sub(RESERVED_CONNECTIONS) / HOLDER_CONNECTIONS_MIN;
    holders.max(1) as usize
}

/// Returns the instances that hold connections to the members of `service`, in order of preference:
/// at most `holders_max` of the live `instances`, by rendezvous hashing, so that the loss of an
/// instance moves only the connections that it held. All members of a service have the same
/// holders, so that one instance can choose among the members.
///
/// ```
/// use rudder_decisions::holders_of;
/// let instances = ["a".parse()?, "b".parse()?, "c".parse()?];
/// let holders = holders_of(&"scores-db".parse()?, &instances, 2);
/// assert_eq!(holders.len(), 2);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn holders_of(
    service: &ServiceName,
    instances: &[InstanceName],
    holders_max: usize,
) -> Vec<InstanceName> {
    let mut ranked: Vec<(u64, &InstanceName)> =
        instances.iter().map(|instance| (rank_of(service, instance), instance)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().take(holders_max).map(|(_, instance)| instance.clone()).collect()
}

/// Returns the guaranteed connections plus the demand's part of those neither reserved nor
/// guaranteed.
fn share_of(connections: ConnectionCount, holders: u32, part: DemandPart) -> u32 {
    let pool =
        connections.0.saturating_sub(RESERVED_CONNECTIONS + GUARANTEED_CONNECTIONS * holders);
    GUARANTEED_CONNECTIONS + pool * part.0 / 1000
}

fn rank_of(service: &ServiceName, instance: &InstanceName) -> u64 {
    xxh3_64(format!("{service}/{instance}").as_bytes())
}
