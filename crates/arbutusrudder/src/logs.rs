//! JSON log lines, written by a thread of their own so that no request waits for them.

use displaydoc::Display;
use logforth::layout::JsonLayout;
use logforth::record::{LevelFilter, Record};
use logforth::{Append, Diagnostic, Error, Layout};
use std::io::Write;
use std::str::FromStr;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Lines that may wait for the writer. A slow reader of the log must not slow requests, so lines
/// beyond this are dropped and counted.
const QUEUED_LINES_MAX: usize = 16_384;

/// Prefix of the log lines of the platform's client library.
const KUBE_CLIENT_TARGET: &str = "kube";

/// Lines written at once before the output is flushed.
const LINES_PER_FLUSH: usize = 256;

/// The least severe lines that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Decisions, too.
    Info,
    /// Ends of connections, too.
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

/// Why logging cannot be set up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum LogError {
    /// the log level must be error, warn, info or debug
    UnknownLevel,
    /// a logger is already set
    AlreadySet,
}

impl std::error::Error for LogError {}

/// Sets up the log of the whole process: JSON lines on standard output.
///
/// # Errors
///
/// [`LogError::AlreadySet`] if a logger was set up before.
///
/// ```
/// arbutusrudder::set_up_logs(arbutusrudder::LogLevel::Error)?;
/// assert!(arbutusrudder::set_up_logs(arbutusrudder::LogLevel::Error).is_err());
/// # Ok::<(), arbutusrudder::LogError>(())
/// ```
pub fn set_up_logs(level: LogLevel) -> Result<(), LogError> {
    let (sender, receiver) = sync_channel(QUEUED_LINES_MAX);
    std::thread::spawn(move || write_lines(&receiver));
    let append = LineQueue { layout: JsonLayout::default(), sender };
    let starter = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::All).append(append));
    starter.try_apply().map_err(|_| LogError::AlreadySet)?;
    log::set_max_level(level.filter());
    Ok(())
}

#[derive(Debug)]
struct LineQueue {
    layout: JsonLayout,
    sender: SyncSender<Vec<u8>>,
}

impl Append for LineQueue {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        // The platform's client repeats what this project says of a failed call itself.
        if record.target().starts_with(KUBE_CLIENT_TARGET) {
            return Ok(());
        }
        let line = self.layout.format(record, diagnostics)?;
        match self.sender.try_send(line) {
            Ok(()) | Err(TrySendError::Disconnected(_)) => {}
            Err(TrySendError::Full(_)) => {
                metrics::counter!("rudder_log_lines_dropped_total").increment(1);
            }
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>) {
    let mut output = std::io::BufWriter::new(std::io::stdout());
    while let Ok(first) = lines.recv() {
        let more = lines.try_iter().take(LINES_PER_FLUSH);
        for mut line in std::iter::once(first).chain(more) {
            line.push(b'\n');
            // Nobody is left to tell that the log cannot be written.
            let _ = output.write_all(&line);
        }
        let _ = output.flush();
    }
}
