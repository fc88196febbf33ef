//! The command line, turned into one value of checked options.

use crate::error::ProxyError;
use crate::logs::LogLevel;
use crate::process::{ProcessError, ProcessSettings};
use argh::FromArgs;
use std::path::PathBuf;

/// Database proxy with session consistency.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/arbutusrudder/process.toml",
    note = "Sends SIGTERM once to let requests in flight finish, twice to end at once.",
    error_code(1, "The settings are wrong, or an address cannot be used.")
)]
struct CommandLine {
    /// file of this process's own settings, in TOML
    #[argh(option, short = 's')]
    settings: PathBuf,

    /// least severe log lines that are written: error, warn, info or debug; default info
    #[argh(option, short = 'l', default = "LogLevel::Info")]
    log: LogLevel,

    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

/// What the command line asks for.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// This process's own settings.
    pub process: ProcessSettings,
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
        let text = std::fs::read_to_string(&line.settings)
            .map_err(|reason| ProcessError::Unreadable { path: line.settings.clone(), reason })?;
        let process = ProcessSettings::parse(&text)?;
        Ok(Self { process, log: line.log, check: line.check })
    }
}
