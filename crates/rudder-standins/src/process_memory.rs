//! Memory of a process, as the kernel reports it.

/// Resident memory of a process in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Bytes that are resident now.
    pub resident: u64,
    /// Greatest number of resident bytes so far.
    pub peak: u64,
}

impl ProcessMemory {
    /// Reads the memory of a process; `None` if it has exited.
    ///
    /// ```
    /// use rudder_standins::ProcessMemory;
    /// let memory = ProcessMemory::of(std::process::id()).expect("this process runs");
    /// assert!(memory.peak >= memory.resident);
    /// ```
    #[must_use]
    pub fn of(process: u32) -> Option<Self> {
        let text = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        Some(Self { resident: bytes_of(&text, "VmRSS:")?, peak: bytes_of(&text, "VmHWM:")? })
    }
}

/// Returns the value of a line of the form `VmRSS:    1024 kB`.
fn bytes_of(text: &str, field: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(field))?;
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib * 1024)
}
