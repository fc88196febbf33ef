//! Command line parsing and validation.

use crate::error::ProxyError;
use crate::logs::LogLevel;
use crate::process::{ProcessError, ProcessSettings};
use argh::FromArgs;
use rudder_platform::BootFile;
use std::path::PathBuf;

/// Database proxy with session consistency.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/arbutusrudder/process.toml",
    note = "A first SIGTERM lets requests in flight finish; a second ends the process at once.",
    error_code(1, "The settings are invalid, or an address cannot be used.")
)]
struct CommandLine {
    /// TOML file with the settings of this process
    #[argh(option, short = 's')]
    settings: Option<PathBuf>,

    /// run on the users' platform, with the settings file that it provides
    #[argh(switch)]
    platform: bool,

    /// minimum severity of log lines: error, warn, info or debug; default info
    #[argh(option, short = 'l', default = "LogLevel::Info")]
    log: LogLevel,

    /// port of the metrics page on the platform; without it, no metrics are served
    #[argh(option)]
    metrics_port: Option<u16>,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

/// Mode in which the proxy runs, with its settings.
#[derive(Clone, Debug)]
pub enum StartMode {
    /// Runs as a PostgreSQL proxy with a settings file written by the operators.
    Process(Box<ProcessSettings>),
    /// Runs on the users' platform.
    Platform {
        /// Settings file of the platform, which may change while the proxy runs.
        path: PathBuf,
        /// Contents of the file at startup.
        boot: Box<BootFile>,
        /// Port of the metrics page, if it is served.
        metrics_port: Option<u16>,
    },
}

/// Options given on the command line.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Mode in which to run.
    pub mode: StartMode,
    /// Minimum severity of log lines.
    pub log: LogLevel,
    /// Whether to check the settings and exit without starting.
    pub check: bool,
}

impl ProxyOptions {
    /// Parses the command line and the settings file that it names.
    ///
    /// # Errors
    ///
    /// [`ProxyError`] if the file cannot be read or is invalid.
    ///
    /// ```no_run
    /// let options = arbutusrudder::ProxyOptions::from_command_line()?;
    /// assert!(!options.check);
    /// # Ok::<(), arbutusrudder::ProxyError>(())
    /// ```
    pub fn from_command_line() -> Result<Self, ProxyError> {
        let line: CommandLine = argh::from_env();
        let mode = match (line.settings, line.platform) {
            (Some(path), false) => read_process(path)?,
            (None, true) => read_platform(line.metrics_port)?,
            _ => return Err(ProxyError::Mode),
        };
        Ok(Self { mode, log: line.log, check: line.check })
    }
}

fn read_process(path: PathBuf) -> Result<StartMode, ProxyError> {
    let text = std::fs::read_to_string(&path)
        .map_err(|reason| ProcessError::Unreadable { path, reason })?;
    Ok(StartMode::Process(Box::new(ProcessSettings::parse(&text)?)))
}

fn read_platform(metrics_port: Option<u16>) -> Result<StartMode, ProxyError> {
    let path = BootFile::path()?;
    let boot = Box::new(BootFile::read(&path)?);
    Ok(StartMode::Platform { path, boot, metrics_port })
}
