//! Watches the memory of a child process and stops the process before it harms the machine.

use rudder_standins::ProcessMemory;
use std::fmt;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Memory of the machine that a process runs on, in bytes.
pub(crate) const MACHINE_MEMORY: u64 = 260_000_000;

/// Descriptors that the machine gives to a process.
pub(crate) const MACHINE_DESCRIPTORS: u32 = 4_300;

/// Interval between two looks at the resident memory.
const RESIDENT_INTERVAL: Duration = Duration::from_millis(5);

/// Interval between two looks at the bytes that wait in the sockets, which takes longer.
const UNREAD_INTERVAL: Duration = Duration::from_millis(100);

const BYTES_PER_MB: u64 = 1_000_000;

/// Greatest memory of a process since the watch began.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MemoryPeak {
    /// Resident bytes.
    resident: u64,
    /// Bytes received on the watched addresses and not read yet.
    unread: u64,
    /// Greatest sum of both.
    sum: u64,
}

impl fmt::Display for MemoryPeak {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mb = |bytes: u64| bytes / BYTES_PER_MB;
        let Self { resident, unread, sum } = *self;
        write!(f, "peak {} MB ({} resident, {} unread)", mb(sum), mb(resident), mb(unread))
    }
}

struct WatchState {
    peak: Mutex<MemoryPeak>,
    passed_after_ms: AtomicU64,
    ended: AtomicBool,
}

/// A watch of one process, which ends when dropped.
pub(crate) struct MemoryWatch {
    state: Arc<WatchState>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    /// Watches a process and what waits in its sockets at these addresses.
    pub(crate) fn start(process: u32, addresses: Vec<SocketAddr>) -> Self {
        let state = Arc::new(WatchState {
            peak: Mutex::default(),
            passed_after_ms: AtomicU64::new(u64::MAX),
            ended: AtomicBool::new(false),
        });
        let watched = Arc::clone(&state);
        let thread = std::thread::spawn(move || watch(&watched, process, &addresses));
        Self { state, thread: Some(thread) }
    }

    pub(crate) fn peak(&self) -> MemoryPeak {
        *self.state.peak.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Fails if the process passed the memory of its machine and was stopped for it.
    pub(crate) fn assert_within_machine(&self) {
        let after = self.state.passed_after_ms.load(Ordering::Relaxed);
        assert_eq!(
            after,
            u64::MAX,
            "passed the machine's memory after {after} ms: {}",
            self.peak()
        );
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.state.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // Fails only if the thread panicked, which the test harness prints.
            let _ = thread.join();
        }
    }
}

fn watch(state: &WatchState, process: u32, addresses: &[SocketAddr]) {
    let started_at = Instant::now();
    let mut unread = 0;
    let mut unread_at = started_at;
    while !state.ended.load(Ordering::Relaxed) {
        let Some(memory) = ProcessMemory::of(process) else { return };
        let resident = memory.resident;
        if unread_at.elapsed() >= UNREAD_INTERVAL {
            unread = unread_bytes(addresses);
            unread_at = Instant::now();
        }
        let sum = resident + unread;
        {
            let mut peak = state.peak.lock().unwrap_or_else(PoisonError::into_inner);
            peak.resident = peak.resident.max(resident);
            peak.unread = peak.unread.max(unread);
            peak.sum = peak.sum.max(sum);
        }
        if sum > MACHINE_MEMORY {
            let after = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(0);
            state.passed_after_ms.store(after, Ordering::Relaxed);
            let stopped = Command::new("kill").args(["-KILL", &process.to_string()]).status();
            stopped.expect("kill starts");
            return;
        }
        std::thread::sleep(RESIDENT_INTERVAL);
    }
}

/// Returns the bytes that wait in the receive queues of established connections.
fn unread_bytes(addresses: &[SocketAddr]) -> u64 {
    let wanted: Vec<String> = addresses.iter().filter_map(|address| table_form(*address)).collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queued = |line: &str| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let (local, _remote, state) = (fields.next()?, fields.next()?, fields.next()?);
        let (_, received) = fields.next()?.split_once(':')?;
        let is_wanted = wanted.iter().any(|address| address == local) && state == "01";
        is_wanted.then(|| u64::from_str_radix(received, 16).unwrap_or(0))
    };
    table.lines().filter_map(queued).sum()
}

/// Returns an address as the kernel's table of connections writes it.
fn table_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
