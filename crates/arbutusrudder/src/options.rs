//! The command line, turned into one value of checked options.

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
    note = "The first SIGTERM lets requests in flight finish; a second one ends the process at once.",
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

/// How the proxy is to run, with its settings.
#[derive(Clone, Debug)]
pub enum StartMode {
    /// As a PostgreSQL proxy, with a settings file of the operators'.
    Process(Box<ProcessSettings>),
    /// On the users' platform.
    Platform {
        /// The platform's settings file, which may change later.
        path: PathBuf,
        /// What stands in it.
        boot: Box<BootFile>,
        /// Port of the metrics page, if one is wanted.
        metrics_port: Option<u16>,
    },
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// How to run.
    pub mode: StartMode,
    /// The least severe log lines that are written.
    pub log: LogLevel,
    /// Whether only to check the settings.
    pub check: bool,
}

impl ProxyOptions {
    /// Reads the command line and the file that it names.
    ///
    /// # Errors
    ///
    /// [`ProxyError`] when the file cannot be read or is wrong.
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
