//! The keeper's bounds in time, derived from the operators' settings.

use rudder_core::PlanBounds;
use rudder_settings::TimingSettings;
use std::time::Duration;

/// A call to the platform that decides over a promotion waits no longer than this. The platform
/// answers in milliseconds when it is well; beyond that the reserved term is the faster way.
pub(super) const GRANT_CALL_TIMEOUT: Duration = Duration::from_millis(250);

/// A call to the platform that decides over nothing urgent is given up after this time.
pub(super) const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls of one keeper under way at the same time; a slow platform is not asked for more.
pub(super) const PLATFORM_CALLS_MAX: usize = 2;

/// How often a keeper reads the grant back to see its reservation. With 780 groups of three
/// keepers this costs the platform 156 reads a second of its two thousand.
pub(super) const GRANT_REFRESH_INTERVAL: Duration = Duration::from_secs(15);

/// How often a keeper asks for a reservation while it has none that members would accept.
pub(super) const GRANT_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// How often the keeper of rank one looks for an operator's order: 156 reads a second for 780
/// groups.
pub(super) const ORDER_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// How long a switch waits, before anything stops, for its target to come close.
pub(super) const SWITCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Bounds of a plan. A new term costs little, so the patience with a candidate is short.
pub(super) fn plan_bounds(timing: &TimingSettings) -> PlanBounds {
    PlanBounds {
        retry: timing.probe_interval / 5,
        grace: timing.probe_interval / 4,
        patience: 2 * statement_timeout(timing),
    }
}

/// How long one control statement may take: it has failed by the next round of probes.
pub(super) fn statement_timeout(timing: &TimingSettings) -> Duration {
    timing.probe_interval * 4 / 5
}

/// How often a keeper that no longer hears the primary looks for the others' votes.
pub(super) fn vote_poll_interval(timing: &TimingSettings) -> Duration {
    timing.probe_interval / 5
}

/// How much later each next rank acts than the one before it.
pub(super) fn rank_delay(timing: &TimingSettings) -> Duration {
    timing.suspect_after / 2
}
