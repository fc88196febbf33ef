//! Clock by which leases expire.

use std::time::Duration;

/// Returns the time since the machine started, including time spent suspended. A clock that stops
/// during suspension would make an expired lease look valid after the machine resumes.
pub(crate) fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
