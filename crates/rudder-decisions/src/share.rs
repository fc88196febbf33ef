//! How an endpoint's connections are divided among the instances, whose number changes.
//!
//! Load pattern: 3 to 5 slots and 30 to 40 connections per endpoint for all instances together.
//! Without a division the instance that comes first takes the connections, the last ones find
//! none, and after a failover nobody can reach the new primary to make room. Without shrinking
//! before growing, the shares add up to more than the whole while instances learn of a change at
//! different times, and the endpoint refuses connections.
//!
//! Thresholds: [`RESERVE`] connections stay out of the division, for control statements of the
//! keepers; a greater share counts only after [`GROW_DELAY`], which is longer than the few seconds
//! that the lagging list of instances takes to reach all of them.

use rudder_core::{ConnectionCount, InstanceName, MemberName};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Connections kept for control statements: one for each of three keepers.
const RESERVE: u32 = 3;

/// How long a greater share waits before it counts.
const GROW_DELAY: Duration = Duration::from_secs(8);

/// The share of one endpoint's connections that this instance may hold.
///
/// ```
/// use rudder_core::ConnectionCount;
/// use rudder_decisions::SlotShare;
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let mut share = SlotShare::new(ConnectionCount(30), 7, now);
/// assert_eq!(share.current(now), 3);
/// share.set_holders(9, now);
/// assert_eq!(share.current(now), 3);
/// share.set_holders(5, now);
/// assert_eq!(share.current(now), 3);
/// assert_eq!(share.current(now + Duration::from_secs(8)), 5);
/// ```
#[derive(Clone, Debug)]
pub struct SlotShare {
    connections: ConnectionCount,
    current: u32,
    next: u32,
    changed: Instant,
}

impl SlotShare {
    /// The share of one of `holders` instances in an endpoint's connections. Counts at once: an
    /// instance that starts is part of the list by which the others shrank, or will refuse itself.
    ///
    /// See the example of [`SlotShare`].
    #[must_use]
    pub fn new(connections: ConnectionCount, holders: u32, now: Instant) -> Self {
        let share = split(connections, holders);
        Self { connections, current: share, next: share, changed: now }
    }

    /// Takes over a changed number of holders. A smaller share counts at once.
    ///
    /// See the example of [`SlotShare`].
    pub fn set_holders(&mut self, holders: u32, now: Instant) {
        self.current = self.current(now);
        let next = split(self.connections, holders);
        if next != self.next {
            self.next = next;
            self.changed = now;
        }
        self.current = self.current.min(next);
    }

    /// How many connections this instance may hold now.
    ///
    /// See the example of [`SlotShare`].
    #[must_use]
    pub fn current(&self, now: Instant) -> u32 {
        if now.duration_since(self.changed) >= GROW_DELAY { self.next } else { self.current }
    }
}

/// The instances that hold connections to `member`, the preferred one first: at most `holders_max`
/// of the live `instances`, by rendezvous hashing, so that a lost instance moves only its own.
///
/// ```
/// use rudder_decisions::holders_of;
/// let instances = ["a".parse()?, "b".parse()?, "c".parse()?];
/// let holders = holders_of(&"scores-1".parse()?, &instances, 2);
/// assert_eq!(holders.len(), 2);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn holders_of(
    member: &MemberName,
    instances: &[InstanceName],
    holders_max: usize,
) -> Vec<InstanceName> {
    let mut ranked: Vec<(u64, &InstanceName)> =
        instances.iter().map(|instance| (rank_of(member, instance), instance)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().take(holders_max).map(|(_, instance)| instance.clone()).collect()
}

/// The equal split of what is not reserved; never less than one, or the instance could not work.
fn split(connections: ConnectionCount, holders: u32) -> u32 {
    (connections.0.saturating_sub(RESERVE) / holders.max(1)).max(1)
}

fn rank_of(member: &MemberName, instance: &InstanceName) -> u64 {
    xxh3_64(format!("{member}/{instance}").as_bytes())
}
