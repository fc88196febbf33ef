//! Number of connections to a member that an instance may hold.

use rudder_core::{ConnectionCount, plain_data};
use std::time::Duration;

plain_data! {
    /// Rule by which the connections of a member are divided among instances.
    pub struct HolderRule {
        /// Connections kept free for status requests of keepers and for the first connection of a
        /// new instance.
        pub spare: ConnectionCount,
        /// Minimum connections per holder. Once an equal division among all instances gives less,
        /// only some instances hold connections and the others forward statements to them.
        pub per_holder: ConnectionCount,
    }
}

impl Default for HolderRule {
    fn default() -> Self {
        // Of 30 connections, four to each of seven instances, and two spare.
        Self { spare: ConnectionCount(2), per_holder: ConnectionCount(4) }
    }
}

impl HolderRule {
    /// Returns how many of `instances` hold connections to a member that accepts `connections`.
    ///
    /// ```
    /// use rudder_core::ConnectionCount;
    /// use rudder_peers::HolderRule;
    /// let rule = HolderRule::default();
    /// assert_eq!(rule.holders(ConnectionCount(30), 7), 7);
    /// assert_eq!(rule.holders(ConnectionCount(30), 570), 7);
    /// assert_eq!(rule.holders(ConnectionCount(1), 570), 1);
    /// ```
    #[must_use]
    pub fn holders(&self, connections: ConnectionCount, instances: usize) -> usize {
        let usable = connections.0.saturating_sub(self.spare.0);
        let most = usable / self.per_holder.0.max(1);
        usize::try_from(most).unwrap_or(usize::MAX).clamp(1, instances.max(1))
    }

    /// Returns the share of each of `holders` in a member that accepts `connections`; at least one.
    ///
    /// ```
    /// use rudder_core::ConnectionCount;
    /// use rudder_peers::HolderRule;
    /// let rule = HolderRule::default();
    /// assert_eq!(rule.share(ConnectionCount(30), 7), ConnectionCount(4));
    /// assert_eq!(rule.share(ConnectionCount(30), 2), ConnectionCount(14));
    /// ```
    #[must_use]
    pub fn share(&self, connections: ConnectionCount, holders: usize) -> ConnectionCount {
        let usable = connections.0.saturating_sub(self.spare.0);
        let holders = u32::try_from(holders).unwrap_or(u32::MAX).max(1);
        ConnectionCount((usable / holders).max(1))
    }
}

/// Number of connections that an instance may use now. It shrinks at once and grows after a delay.
///
/// Prevents more connections than a member accepts: instances see membership changes at different
/// times, and if one grows its share while another has not yet shrunk, the two exceed the limit of
/// the member, and connections are refused. The share therefore grows only after the wanted share
/// has stayed at least as large for longer than the views of any two instances differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    growth_delay: Duration,
    current: ConnectionCount,
    pending_growth: Option<PendingGrowth>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingGrowth {
    /// Smallest share wanted since then.
    wanted: ConnectionCount,
    since: Duration,
}

impl ConnectionShare {
    /// Creates a share of `first`, which grows only after a greater share was wanted for
    /// `growth_delay`.
    ///
    /// ```
    /// use rudder_core::ConnectionCount;
    /// use rudder_peers::ConnectionShare;
    /// use std::time::Duration;
    /// let mut share = ConnectionShare::new(ConnectionCount(1), Duration::from_secs(10));
    /// assert_eq!(share.update(ConnectionCount(4), Duration::ZERO), ConnectionCount(1));
    /// assert_eq!(share.update(ConnectionCount(4), Duration::from_secs(10)), ConnectionCount(4));
    /// assert_eq!(share.update(ConnectionCount(3), Duration::from_secs(11)), ConnectionCount(3));
    /// ```
    #[must_use]
    pub fn new(first: ConnectionCount, growth_delay: Duration) -> Self {
        Self { growth_delay, current: first, pending_growth: None }
    }

    /// Sets the share that follows from the current view, and returns the share that may be used.
    ///
    /// `now` is the time since any fixed origin and must be monotonic.
    ///
    /// ```
    /// use rudder_core::ConnectionCount;
    /// use std::time::Duration;
    /// let mut share =
    ///     rudder_peers::ConnectionShare::new(ConnectionCount(4), Duration::from_secs(10));
    /// assert_eq!(share.update(ConnectionCount(2), Duration::ZERO), ConnectionCount(2));
    /// ```
    pub fn update(&mut self, wanted: ConnectionCount, now: Duration) -> ConnectionCount {
        if wanted <= self.current {
            self.current = wanted;
            self.pending_growth = None;
            return self.current;
        }
        let growth = self.pending_growth.get_or_insert(PendingGrowth { wanted, since: now });
        if wanted < growth.wanted {
            growth.wanted = wanted;
        }
        if now.saturating_sub(growth.since) >= self.growth_delay {
            self.current = growth.wanted;
            self.pending_growth = None;
        }
        self.current
    }

    /// Returns the share that may be used.
    ///
    /// ```
    /// use rudder_core::ConnectionCount;
    /// use std::time::Duration;
    /// let share = rudder_peers::ConnectionShare::new(ConnectionCount(4), Duration::from_secs(10));
    /// assert_eq!(share.current(), ConnectionCount(4));
    /// ```
    #[must_use]
    pub fn current(&self) -> ConnectionCount {
        self.current
    }
}
