//! The clock of leases.

use std::time::Duration;

/// Time since the machine started, suspension included.
///
/// Leases run by it: a machine that was suspended must not wake up and believe
/// that its lease is still good, as it would by a clock that stood still meanwhile.
pub(crate) fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
