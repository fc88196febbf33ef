//! Output of commands, as text or JSON, and their exit codes.

use crate::error::CommandError;
use serde::Serialize;
use serde_json::json;
use std::fmt::Display;
use std::process::ExitCode;

/// Result class of a command, which scripts read as exit code or JSON label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExitStatus {
    /// The command succeeded.
    Done,
    /// The settings or the order are refused; nothing was changed.
    Refused,
    /// The command line is wrong.
    Usage,
    /// The platform cannot be reached; nothing was changed.
    Unavailable,
    /// The change may or may not be in force.
    Unknown,
}

impl ExitStatus {
    /// Returns the exit code that the help documents.
    pub(crate) const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unavailable => 3,
            Self::Unknown => 4,
        }
    }

    const fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused => "refused",
            Self::Usage => "usage",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(exit: ExitStatus) -> Self {
        Self::from(exit.code())
    }
}

/// Format of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Text,
    Json,
}

impl OutputFormat {
    pub(crate) fn new(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }
}

/// Output of a command and its exit status.
pub(crate) struct CommandReport {
    text: String,
    json: serde_json::Value,
    exit: ExitStatus,
}

impl CommandReport {
    /// Creates the report of a command that succeeded.
    pub(crate) fn done(report: &(impl Display + Serialize)) -> Self {
        let json = serde_json::to_value(report).expect("reports hold texts and numbers only");
        Self { text: report.to_string(), json, exit: ExitStatus::Done }
    }

    /// Returns the report with another exit status.
    pub(crate) fn with_exit(self, exit: ExitStatus) -> Self {
        Self { exit, ..self }
    }
}

/// Prints a command's result: reports and JSON to standard output, errors in text form to standard
/// error.
pub(crate) fn print(
    result: &Result<CommandReport, CommandError>,
    format: OutputFormat,
) -> ExitStatus {
    match (result, format) {
        (Ok(report), OutputFormat::Text) => println!("{}", report.text),
        (Ok(report), OutputFormat::Json) => println!("{}", report.json),
        (Err(error), OutputFormat::Text) => eprintln!("{error}"),
        (Err(error), OutputFormat::Json) => println!("{}", error_json(error)),
    }
    match result {
        Ok(report) => report.exit,
        Err(error) => error.exit(),
    }
}

fn error_json(error: &CommandError) -> serde_json::Value {
    let problems = error.problems();
    json!({ "error": error.exit().label(), "message": error.to_string(), "problems": problems })
}
