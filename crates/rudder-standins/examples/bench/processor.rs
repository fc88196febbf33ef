//! Processor time of a process, read from `/proc`.

use std::io;
use std::time::Duration;

/// Unit of the kernel's processor times in `/proc`: 1/100 of a second.
const TICK: Duration = Duration::from_millis(10);

/// Index of the user time (`utime`) in `/proc/<pid>/stat`, counted after the program's name. The
/// next field is the system time (`stime`).
const USER_TIME_FIELD: usize = 11;

/// Returns the processor time that all threads of a process have used. `pid` may be `self`.
pub(crate) fn processor_time(pid: &str) -> io::Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program's name may contain spaces and parentheses, so fields are counted after it.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks: u32 = fields
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<u32>().ok())
        .sum();
    Ok(TICK * ticks)
}
