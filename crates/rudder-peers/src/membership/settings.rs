//! The intervals and counts of the membership.

use std::time::Duration;

/// The intervals and counts of the membership.
#[derive(Clone, Debug)]
pub(crate) struct MembershipSettings {
    /// One random peer is probed each period, however many there are.
    pub(crate) period: Duration,
    /// After this time without an answer, others are asked to probe.
    pub(crate) direct_timeout: Duration,
    /// After this time without any answer, the probe has failed.
    pub(crate) probe_timeout: Duration,
    /// How long a suspect instance has to refute before it is checked a last time.
    pub(crate) suspicion: Duration,
    /// The least time between two checks of suspect instances.
    pub(crate) check_interval: Duration,
    /// How many others are asked to probe.
    pub(crate) relay_count: usize,
    /// How often one instance that is gone, or a seed that has not answered, is probed.
    pub(crate) rejoin_interval: Duration,
    /// How long an instance that is gone is remembered; longer than regions are parted.
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
