//! Share of each instance in the connections to a member.
//!
//! Load pattern: a member accepts a few dozen connections from all instances together. Without a
//! division the busiest instance takes all of them. Shares that are rounded down leave up to one
//! connection per instance unused: seven of 18 for nine instances in three uneven failure domains,
//! while callers are refused.
//!
//! All instances therefore have equal shares, and the remainder goes to some of them by a hash that
//! gives a different order for each member. As each instance computes the shares from the same
//! list, they add up exactly to the connections to be divided, unless there are more instances than
//! connections: then each may hold one, and the member itself refuses the excess.

use rudder_core::{InstanceName, MemberName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Connections reserved for changes of the primary and for monitoring it: about one for each
/// instance that reads the store on behalf of all, of which there are three to seven.
pub(crate) const RESERVED_CONNECTIONS: u32 = 4;

/// Number of connections that one instance may hold to one member.
///
/// ```
/// use rudder_decisions::ConnectionShare;
/// let all = ["entry-1".parse()?, "entry-2".parse()?];
/// let share = ConnectionShare::of(38, &"db-1".parse()?, &all[0], &all);
/// assert_eq!(share, ConnectionShare(17));
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionShare(pub u32);

impl ConnectionShare {
    /// Whether there are more instances than connections to divide, so that the shares add up to
    /// more than a member accepts.
    ///
    /// ```
    /// use rudder_decisions::ConnectionShare;
    /// assert!(ConnectionShare::is_scarce(63, 90));
    /// assert!(!ConnectionShare::is_scarce(63, 9));
    /// ```
    #[must_use]
    pub fn is_scarce(connections_max: u32, instances: usize) -> bool {
        (connections_max.saturating_sub(RESERVED_CONNECTIONS) as usize) < instances
    }

    /// Returns the smallest share of any of `instances`.
    ///
    /// ```
    /// use rudder_decisions::ConnectionShare;
    /// assert_eq!(ConnectionShare::smallest(49, 29), ConnectionShare(1));
    /// assert_eq!(ConnectionShare::smallest(18, 7), ConnectionShare(2));
    /// ```
    #[must_use]
    pub fn smallest(connections_max: u32, instances: usize) -> Self {
        let free = connections_max.saturating_sub(RESERVED_CONNECTIONS);
        let count = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
        Self((free / count).max(1))
    }

    /// Returns the share of `own` in the connections that `member` accepts from `all` instances,
    /// including this one; at least one.
    ///
    /// See the example of [`ConnectionShare`].
    #[must_use]
    pub fn of(
        connections_max: u32,
        member: &MemberName,
        own: &InstanceName,
        all: &[InstanceName],
    ) -> Self {
        let free = connections_max.saturating_sub(RESERVED_CONNECTIONS);
        let count = u32::try_from(all.len()).unwrap_or(u32::MAX).max(1);
        if free < count || !all.contains(own) {
            return Self(1);
        }
        let seed = xxh3_64(member.as_str().as_bytes());
        let hash = |instance: &InstanceName| xxh3_64_with_seed(instance.as_str().as_bytes(), seed);
        let own_hash = hash(own);
        let ahead = all.iter().filter(|instance| hash(instance) < own_hash).count();
        let extra = ahead < (free % count) as usize;
        Self(free / count + u32::from(extra))
    }
}
