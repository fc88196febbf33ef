//! What this process has used so far, as Linux tells it.

use std::time::Duration;

/// Clock ticks per second in `/proc`, fixed by the kernel's interface on common machines.
const TICKS_PER_SECOND: u64 = 100;
/// Bytes per page.
const PAGE_BYTES: u64 = 4096;
/// Place of user time in `/proc/self/stat`, counted after the command's closing bracket.
const USER_TIME_FIELD: usize = 11;

/// Processor time used by all threads.
pub(crate) fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1000 / TICKS_PER_SECOND)
}

/// Resident memory in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
