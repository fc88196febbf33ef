//! Intervals and counts of the membership protocol.

use std::time::Duration;

/// Intervals and counts of the membership protocol.
#[derive(Clone, Debug)]
pub(crate) struct MembershipSettings {
    /// Interval at which one random peer is probed, independent of the number of peers.
    pub(crate) period: Duration,
    /// Time without an acknowledgement after which a probe is retried or indirect probes are
    /// requested.
    pub(crate) direct_timeout: Duration,
    /// Time without any acknowledgement after which a probe has failed.
    pub(crate) probe_timeout: Duration,
    /// Time for which a suspect instance may refute before it is checked a last time.
    pub(crate) suspicion: Duration,
    /// Minimum time between two checks of suspect instances.
    pub(crate) check_interval: Duration,
    /// Number of other instances that are asked to send an indirect probe.
    pub(crate) relay_count: usize,
    /// Interval at which one removed instance, or a seed that has not responded, is probed.
    pub(crate) rejoin_interval: Duration,
    /// Time for which a removed instance is remembered; longer than a partition between regions
    /// lasts.
    pub(crate) tombstone_ttl: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(400),
            probe_timeout: Duration::from_millis(1000),
            suspicion: Duration::from_secs(2),
            check_interval: Duration::from_millis(250),
            relay_count: 2,
            rejoin_interval: Duration::from_secs(5),
            tombstone_ttl: Duration::from_secs(2 * 3600),
        }
    }
}
