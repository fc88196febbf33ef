//! Whether statements are forwarded to holders.

/// Sizes of a deployment that decide whether statements are forwarded to holders.
///
/// ```
/// use rudder_decisions::ForwardingRule;
/// assert!(ForwardingRule::new(88, 86, 70).is_needed());
/// assert!(!ForwardingRule::new(3, 8, 70).is_needed(), "each may hold one for every account");
/// assert!(!ForwardingRule::new(88, 0, 70).is_needed(), "no accounts");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ForwardingRule {
    instances: usize,
    accounts: usize,
    connections_max: u32,
}

impl ForwardingRule {
    /// Creates the rule for a number of instances, of client accounts, and of connections that a
    /// member accepts.
    ///
    /// See the example of [`ForwardingRule`].
    #[must_use]
    pub fn new(instances: usize, accounts: usize, connections_max: u32) -> Self {
        Self { instances, accounts, connections_max }
    }

    /// Whether there are accounts, and not every instance can hold a connection for each of them.
    ///
    /// See the example of [`ForwardingRule`].
    #[must_use]
    pub fn is_needed(self) -> bool {
        let pairs = self.instances.saturating_mul(self.accounts);
        self.accounts > 0 && pairs > self.connections_max as usize
    }
}
