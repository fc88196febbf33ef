//! Resources used by this process so far, as reported by Linux.

use std::time::Duration;

/// Clock ticks per second in `/proc`, fixed by the kernel interface on common machines.
const TICKS_PER_SECOND: u64 = 100;
/// Bytes per page.
const PAGE_BYTES: u64 = 4096;
/// Index of the user time in `/proc/self/stat`, counted after the closing bracket of the command.
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time used by all threads.
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

/// Returns the resident memory in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
