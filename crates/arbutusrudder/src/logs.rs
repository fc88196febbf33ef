//! JSON logging through a dedicated writer thread, so that no request waits for log output.

use displaydoc::Display;
use logforth::layout::JsonLayout;
use logforth::record::{LevelFilter, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use rudder_core::ByteSize;
use rudder_decisions::{MemoryBudget, MemoryReservation};
use std::io::Write;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Maximum number of lines queued for the writer. A slow reader of the log must not slow requests,
/// so further lines are dropped and counted.
const QUEUED_LINES_MAX: usize = 16_384;

/// Maximum size of the queued lines.
const QUEUED_BYTES_MAX: ByteSize = ByteSize(4 << 20);

/// Maximum length of a line in bytes. Names and ids that callers choose may be as long as a request.
const LINE_BYTES_MAX: usize = 16 * 1024;

/// Length of the start of a longer line that is written.
const LINE_START_BYTES: usize = 1024;

/// Prefix of the log targets of the platform's client library.
const KUBE_CLIENT_TARGET: &str = "kube";

/// Maximum number of lines taken from the queue between two flushes of the output.
const LINES_PER_FLUSH: usize = 256;

/// Minimum severity of the lines that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Also decisions of the instance.
    Info,
    /// Also ends of connections.
    Debug,
}

impl FromStr for LogLevel {
    type Err = LogError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "error" => Ok(Self::Error),
            "warn" => Ok(Self::Warn),
            "info" => Ok(Self::Info),
            "debug" => Ok(Self::Debug),
            _ => Err(LogError::UnknownLevel),
        }
    }
}

impl LogLevel {
    fn filter(self) -> log::LevelFilter {
        match self {
            Self::Error => log::LevelFilter::Error,
            Self::Warn => log::LevelFilter::Warn,
            Self::Info => log::LevelFilter::Info,
            Self::Debug => log::LevelFilter::Debug,
        }
    }
}

/// Error from setting up logging.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum LogError {
    /// the log level must be error, warn, info or debug
    UnknownLevel,
    /// a logger is already set
    AlreadySet,
}

impl std::error::Error for LogError {}

/// Sets up logging for the whole process, as JSON lines on standard output.
///
/// # Errors
///
/// [`LogError::AlreadySet`] if a logger is already set.
///
/// ```
/// arbutusrudder::set_up_logs(arbutusrudder::LogLevel::Error)?;
/// assert!(arbutusrudder::set_up_logs(arbutusrudder::LogLevel::Error).is_err());
/// # Ok::<(), arbutusrudder::LogError>(())
/// ```
pub fn set_up_logs(level: LogLevel) -> Result<(), LogError> {
    let (sender, receiver) = sync_channel(QUEUED_LINES_MAX);
    std::thread::spawn(move || write_lines(&receiver));
    let memory = MemoryBudget::new(QUEUED_BYTES_MAX);
    let append = LineQueue { layout: JsonLayout::default(), sender, memory };
    let starter = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::All).append(append));
    starter.try_apply().map_err(|_| LogError::AlreadySet)?;
    log::set_max_level(level.filter());
    Ok(())
}

#[derive(Debug)]
struct LineQueue {
    layout: JsonLayout,
    sender: SyncSender<QueuedLine>,
    /// Budget for the queued lines.
    memory: Arc<MemoryBudget>,
}

/// A line in the queue, and the memory that it occupies.
struct QueuedLine {
    bytes: Vec<u8>,
    _memory: MemoryReservation,
}

impl LineQueue {
    /// Queues a line; returns `false` if the queue is full.
    fn try_queue(&self, bytes: Vec<u8>) -> bool {
        let mut memory = self.memory.reservation(ByteSize(0));
        if memory.resize(ByteSize(bytes.len() as u64)).is_err() {
            return false;
        }
        match self.sender.try_send(QueuedLine { bytes, _memory: memory }) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => true,
            Err(TrySendError::Full(_)) => false,
        }
    }
}

/// Replaces a line that is too long by one with its start.
fn shorten_line(line: Vec<u8>) -> Vec<u8> {
    if line.len() <= LINE_BYTES_MAX {
        return line;
    }
    let start = String::from_utf8_lossy(&line[..LINE_START_BYTES]);
    let message = "a log line was too long";
    serde_json::json!({"message": message, "bytes": line.len(), "start": start})
        .to_string()
        .into_bytes()
}

impl Append for LineQueue {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        // The project logs failed platform calls itself, so the client's lines would be duplicates.
        if record.target().starts_with(KUBE_CLIENT_TARGET) {
            return Ok(());
        }
        let line = shorten_line(self.layout.format(record, diagnostics)?);
        if !self.try_queue(line) {
            metrics::counter!("rudder_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<QueuedLine>) {
    let mut output = std::io::BufWriter::new(std::io::stdout());
    while let Ok(first) = lines.recv() {
        let more = lines.try_iter().take(LINES_PER_FLUSH);
        for line in std::iter::once(first).chain(more) {
            // A failure to write the log cannot be reported anywhere else.
            let _ = output.write_all(&line.bytes).and_then(|()| output.write_all(b"\n"));
        }
        let _ = output.flush();
    }
}
