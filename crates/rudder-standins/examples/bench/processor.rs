//! Processor time of processes.

use std::io;
use std::time::Duration;

/// The kernel reports processor times to programs in hundredths of a second.
const TICK: Duration = Duration::from_millis(10);

/// Field of `/proc/<pid>/stat`, counted after the program's name, with the time spent in the
/// program; the next field has the time spent in the kernel.
const USER_TIME_FIELD: usize = 11;

/// The processor time that a process used so far, of all its threads. `pid` may be `self`.
pub(crate) fn processor_time(pid: &str) -> io::Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program's name may hold spaces and parentheses, so fields count from its end.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: u32 = fields
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<u32>().ok())
        .sum();
    Ok(TICK * ticks)
}
