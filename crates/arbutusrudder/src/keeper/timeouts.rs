//! Timeouts and intervals of the keeper: fixed ones, and those derived from the operators'
//! settings.

use rudder_core::PlanTimeouts;
use rudder_settings::TimingSettings;
use std::time::Duration;

/// Timeout of the platform call that takes a term for a promotion. A healthy platform responds
/// within milliseconds; after the timeout the keeper uses its reserved term, which is faster.
pub(super) const GRANT_CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeout of platform calls outside a promotion.
pub(super) const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of concurrent platform calls of one keeper outside a promotion, so that a slow
/// platform does not accumulate them.
pub(super) const PLATFORM_CALLS_MAX: usize = 2;

/// Interval at which a keeper with a usable reservation reads the grant again. With 780 groups of
/// three keepers this causes 156 reads a second; the platform serves two thousand.
pub(super) const GRANT_REFRESH_INTERVAL: Duration = Duration::from_secs(15);

/// Interval at which a keeper tries to reserve a term while it has none that members would accept.
pub(super) const GRANT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which the first-ranked keeper reads the operators' switch order: 156 reads a second
/// for 780 groups.
pub(super) const ORDER_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum time that a switch waits for its target to catch up. Writes continue during the wait.
pub(super) const SWITCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the intervals and timeouts of a succession plan. The candidate's timeout is short, since
/// trying another candidate at a new term is cheap.
pub(super) fn plan_timeouts(timing: &TimingSettings) -> PlanTimeouts {
    PlanTimeouts {
        retry: timing.probe_interval / 5,
        grace: timing.probe_interval / 4,
        timeout: 2 * statement_timeout(timing),
    }
}

/// Timeout of one control statement. It is shorter than the probe interval, so that a failure is
/// known by the next round of probes.
pub(super) fn statement_timeout(timing: &TimingSettings) -> Duration {
    timing.probe_interval * 4 / 5
}

/// Interval at which a keeper that has lost contact with the primary polls for the other keepers'
/// votes.
pub(super) fn vote_poll_interval(timing: &TimingSettings) -> Duration {
    timing.probe_interval / 5
}

/// Delay between the promotion attempts of consecutive ranks.
pub(super) fn rank_delay(timing: &TimingSettings) -> Duration {
    timing.suspect_after / 2
}
