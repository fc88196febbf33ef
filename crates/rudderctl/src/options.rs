//! What the command line asks for, in checked types.

use crate::output::OutputFormat;
use rudder_core::{MemberName, ServiceName};
use rudder_settings::FileName;
use rudder_store::{PlatformOptions, RevisionNumber};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A command and the form of its answer.
#[derive(Clone, Debug)]
pub(crate) struct ControlOptions {
    pub(crate) command: ControlCommand,
    pub(crate) format: OutputFormat,
}

/// A command with what it needs.
#[derive(Clone, Debug)]
pub(crate) enum ControlCommand {
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
    /// Admin addresses of instances.
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
    /// How long to wait until the order was carried out; zero only orders.
    pub(crate) wait: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct ExplainOptions {
    /// The id that the caller sent with the request.
    pub(crate) request: String,
    /// Files of log lines; none for standard input.
    pub(crate) logs: Vec<PathBuf>,
}
