//! How many connections to a member an instance may hold.

use rudder_core::{ConnectionCount, plain_data};
use std::time::Duration;

plain_data! {
    /// How a member's connections are shared out among instances.
    pub struct HolderRule {
        /// Connections kept free for keepers' questions and for a newcomer's first one.
        pub spare: ConnectionCount,
        /// The least connections that make holding worthwhile. Once an equal split gives less, only
        /// some instances hold connections, and others forward to them.
        pub per_holder: ConnectionCount,
    }
}

impl Default for HolderRule {
    fn default() -> Self {
        // Four of 30 connections are what an instance has today, seven to a member.
        Self { spare: ConnectionCount(2), per_holder: ConnectionCount(4) }
    }
}

impl HolderRule {
    /// How many of `instances` hold connections to a member that accepts `connections`.
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

    /// The share of each of `holders` in a member that accepts `connections`; at least one.
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

/// The share that an instance may use now: it shrinks at once and grows late.
///
/// Guards against more connections than a member accepts: instances see a change of the fleet at
/// different times, and one that grows while another has not yet shrunk makes the two exceed the
/// member's limit together, which shows as refused connections. Growth therefore waits until the
/// wanted share has stayed as large for longer than any two views differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    growth_delay: Duration,
    current: ConnectionCount,
    pending_growth: Option<PendingGrowth>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingGrowth {
    /// The least that was wanted since.
    wanted: ConnectionCount,
    since: Duration,
}

impl ConnectionShare {
    /// A share of `first` that grows only after a greater one was wanted for `growth_delay`.
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

    /// Takes in the share that the present view gives, and returns the one that may be used.
    ///
    /// `now` is the time since any origin; it must not go back.
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

    /// The share that may be used.
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
