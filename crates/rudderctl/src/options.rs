//! Options of the commands, parsed and validated.

use crate::output::OutputFormat;
use rudder_core::{MemberName, ServiceName};
use rudder_settings::FileName;
use rudder_store::{PlatformOptions, RevisionNumber};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Command and its output format.
#[derive(Clone, Debug)]
pub(crate) struct RunOptions {
    pub(crate) command: OperatorCommand,
    pub(crate) format: OutputFormat,
}

/// Command with its options.
#[derive(Clone, Debug)]
pub(crate) enum OperatorCommand {
    Check(CheckOptions),
    Submit(SubmitOptions),
    Fetch(FetchOptions),
    Status(StatusOptions),
    Drain(DrainOptions),
    Switch(SwitchOptions),
    Explain(ExplainOptions),
}

#[derive(Clone, Debug)]
pub(crate) struct CheckOptions {
    pub(crate) folder: PathBuf,
    /// Whether to print every merged value and the file that gave it.
    pub(crate) explain: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct SubmitOptions {
    pub(crate) folder: PathBuf,
    pub(crate) platform: PlatformOptions,
    pub(crate) remove: Vec<FileName>,
    pub(crate) above: RevisionNumber,
}

#[derive(Clone, Debug)]
pub(crate) struct FetchOptions {
    pub(crate) folder: PathBuf,
    pub(crate) platform: PlatformOptions,
}

#[derive(Clone, Debug)]
pub(crate) struct StatusOptions {
    pub(crate) platform: PlatformOptions,
    /// Admin addresses of instances to query.
    pub(crate) instances: Vec<SocketAddr>,
}

#[derive(Clone, Debug)]
pub(crate) struct DrainOptions {
    pub(crate) platform: PlatformOptions,
    pub(crate) service: ServiceName,
    pub(crate) member: MemberName,
    pub(crate) undo: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct SwitchOptions {
    pub(crate) platform: PlatformOptions,
    pub(crate) service: ServiceName,
    pub(crate) target: MemberName,
    /// Time to wait until the order is carried out; zero places the order without waiting.
    pub(crate) wait: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct ExplainOptions {
    /// Request id that the caller sent.
    pub(crate) request: String,
    /// Log files; empty for standard input.
    pub(crate) logs: Vec<PathBuf>,
}
