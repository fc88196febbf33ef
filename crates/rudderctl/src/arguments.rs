//! Command-line syntax and its conversion to options.

use crate::address::PlatformAddress;
use crate::options::{
    CheckOptions, DrainOptions, ExplainOptions, FetchOptions, OperatorCommand, RunOptions,
    StatusOptions, SubmitOptions, SwitchOptions,
};
use crate::output::{ExitStatus, OutputFormat};
use argh::FromArgs;
use rudder_core::{MemberName, ServiceName};
use rudder_settings::FileName;
use rudder_store::{PlatformOptions, RevisionNumber};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Parses the command line and prints help and usage errors.
pub(crate) fn parse_command_line() -> Result<RunOptions, ExitStatus> {
    let arguments: Vec<String> =
        std::env::args_os().map(|argument| argument.to_string_lossy().into_owned()).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let rest = arguments.get(1..).unwrap_or_default();
    let exit = match CommandLine::from_args(&["rudderctl"], rest) {
        Ok(line) => return Ok(line.into()),
        Err(exit) => exit,
    };
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            Err(ExitStatus::Done)
        }
        Err(()) => {
            eprintln!("{}\nRun rudderctl --help for more information.", exit.output.trim_end());
            Err(ExitStatus::Usage)
        }
    }
}

/// Checks and submits settings, shows what is in force, drains members, orders switches.
#[derive(FromArgs)]
#[argh(
    example = "Check a folder, submit it, and see it in force:\n\
        {command_name} check examples/inanga-scores\n\
        {command_name} submit examples/inanga-scores --platform http://127.0.0.1:18001\n\
        {command_name} status --platform http://127.0.0.1:18001 --admin 127.0.0.1:9100",
    example = "Take a member out of service for maintenance:\n\
        {command_name} switch scores-orders --to scores-orders-2 --platform http://127.0.0.1:18001\n\
        {command_name} drain scores-orders-1 --service scores-orders --platform http://127.0.0.1:18001",
    note = "Each command takes --json. Without --platform the address, certificate and token\n\
        that a cluster gives to its own processes are used.",
    error_code(1, "The settings or the order are refused; nothing was changed."),
    error_code(2, "The command line is wrong."),
    error_code(3, "The platform cannot be reached; nothing was changed."),
    error_code(4, "An answer was lost: the change may or may not be in force.")
)]
struct CommandLine {
    #[argh(subcommand)]
    command: CommandArguments,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CommandArguments {
    Check(CheckArguments),
    Submit(SubmitArguments),
    Fetch(FetchArguments),
    Status(StatusArguments),
    Drain(DrainArguments),
    Switch(SwitchArguments),
    Explain(ExplainArguments),
}

/// Check a folder of settings files; needs no platform.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} examples/inanga-scores --explain",
    error_code(1, "The folder is refused: each problem with file, line, key and what is right.")
)]
struct CheckArguments {
    /// the folder
    #[argh(positional)]
    folder: PathBuf,
    /// print every merged value and the file that gave it
    #[argh(switch)]
    explain: bool,
    /// answer in JSON
    #[argh(switch)]
    json: bool,
}

/// Submit a folder's files: they replace those of the same name, others stay as they are.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "submit",
    example = "{command_name} examples/inanga-scores --platform http://127.0.0.1:18001",
    example = "{command_name} team --remove 35-rehearsals.toml --platform http://127.0.0.1:18001",
    note = "In a folder that was fetched, only the files that were changed since are submitted."
)]
struct SubmitArguments {
    /// the folder
    #[argh(positional)]
    folder: PathBuf,
    /// the platform's address, such as http://127.0.0.1:18001
    #[argh(option)]
    platform: Option<PlatformAddress>,
    /// the namespace of the project's objects; default
    #[argh(option, default = "default_namespace()")]
    namespace: String,
    /// a file to remove from the accepted settings; may be given several times
    #[argh(option)]
    remove: Vec<FileName>,
    /// number the revision above this one; for a platform that was restored from an old copy
    #[argh(option, default = "RevisionNumber(0)")]
    above: RevisionNumber,
    /// answer in JSON
    #[argh(switch)]
    json: bool,
}

/// Write the accepted files into a folder, and remember there what was fetched.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "fetch",
    example = "{command_name} settings --platform http://127.0.0.1:18001",
    note = "Files that were never accepted are left alone. A file that was changed here and differs\n\
        from the accepted one is not overwritten: the command is refused."
)]
struct FetchArguments {
    /// the folder; made if it is missing
    #[argh(positional)]
    folder: PathBuf,
    /// the platform's address, such as http://127.0.0.1:18001
    #[argh(option)]
    platform: Option<PlatformAddress>,
    /// the namespace of the project's objects; default
    #[argh(option, default = "default_namespace()")]
    namespace: String,
    /// answer in JSON
    #[argh(switch)]
    json: bool,
}

/// Show the accepted revision and what instances have in force.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "status",
    example = "{command_name} --platform http://127.0.0.1:18001 --admin 127.0.0.1:9100 --json"
)]
struct StatusArguments {
    /// the platform's address, such as http://127.0.0.1:18001
    #[argh(option)]
    platform: Option<PlatformAddress>,
    /// the namespace of the project's objects; default
    #[argh(option, default = "default_namespace()")]
    namespace: String,
    /// an instance's admin address; may be given several times
    #[argh(option)]
    admin: Vec<SocketAddr>,
    /// answer in JSON
    #[argh(switch)]
    json: bool,
}

/// Give a member no new work, by a settings file of its own; undo removes that file.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "{command_name} scores-orders-1 --service scores-orders --platform http://127.0.0.1:18001",
    example = "{command_name} scores-orders-1 --service scores-orders --undo --platform http://127.0.0.1:18001",
    note = "A draining primary hands over to the most advanced member that stays."
)]
struct DrainArguments {
    /// the member
    #[argh(positional)]
    member: MemberName,
    /// the member's service
    #[argh(option)]
    service: ServiceName,
    /// take the member into service again
    #[argh(switch)]
    undo: bool,
    /// the platform's address, such as http://127.0.0.1:18001
    #[argh(option)]
    platform: Option<PlatformAddress>,
    /// the namespace of the project's objects; default
    #[argh(option, default = "default_namespace()")]
    namespace: String,
    /// answer in JSON
    #[argh(switch)]
    json: bool,
}

/// Order a planned switch of a service's primary; its keeper carries it out.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "switch",
    example = "{command_name} scores-orders --to scores-orders-2 --wait 30 --platform http://127.0.0.1:18001",
    error_code(1, "The order was refused, or not carried out."),
    error_code(4, "The order still stood when the wait ended, or its answer was lost.")
)]
struct SwitchArguments {
    /// the service
    #[argh(positional)]
    service: ServiceName,
    /// the member that shall become primary
    #[argh(option)]
    to: MemberName,
    /// seconds to wait until the order was carried out; without it, the command only orders
    #[argh(option, default = "0")]
    wait: u64,
    /// the platform's address, such as http://127.0.0.1:18001
    #[argh(option)]
    platform: Option<PlatformAddress>,
    /// the namespace of the project's objects; default
    #[argh(option, default = "default_namespace()")]
    namespace: String,
    /// answer in JSON
    #[argh(switch)]
    json: bool,
}

/// Tell what became of one request, from the log lines of all instances.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "explain",
    example = "{command_name} 5c0e7a21d94b36f8 entry-1.log entry-2.log",
    example = "collect-logs --last 5m | {command_name} 5c0e7a21d94b36f8",
    note = "Lines are those of arbutusrudder --platform. Without files they are read from standard input.\n\
        The last word before a line's JSON names its instance; without one, the file name does.",
    error_code(1, "No line names the request, or a file cannot be read.")
)]
struct ExplainArguments {
    /// the id that the caller sent with the request
    #[argh(positional)]
    request: String,
    /// files of log lines, of all instances
    #[argh(positional)]
    logs: Vec<PathBuf>,
    /// answer in JSON
    #[argh(switch)]
    json: bool,
}

fn default_namespace() -> String {
    PlatformOptions::default().namespace
}

fn platform_options(address: Option<PlatformAddress>, namespace: String) -> PlatformOptions {
    let address = address.map(|address| address.to_string());
    PlatformOptions { address, namespace, ..PlatformOptions::default() }
}

impl From<CommandLine> for RunOptions {
    fn from(line: CommandLine) -> Self {
        let (command, json) = match line.command {
            CommandArguments::Check(arguments) => arguments.into(),
            CommandArguments::Submit(arguments) => arguments.into(),
            CommandArguments::Fetch(arguments) => arguments.into(),
            CommandArguments::Status(arguments) => arguments.into(),
            CommandArguments::Drain(arguments) => arguments.into(),
            CommandArguments::Switch(arguments) => arguments.into(),
            CommandArguments::Explain(arguments) => arguments.into(),
        };
        Self { command, format: OutputFormat::new(json) }
    }
}

impl From<CheckArguments> for (OperatorCommand, bool) {
    fn from(arguments: CheckArguments) -> Self {
        let options = CheckOptions { folder: arguments.folder, explain: arguments.explain };
        (OperatorCommand::Check(options), arguments.json)
    }
}

impl From<SubmitArguments> for (OperatorCommand, bool) {
    fn from(arguments: SubmitArguments) -> Self {
        let platform = platform_options(arguments.platform, arguments.namespace);
        let SubmitArguments { folder, remove, above, .. } = arguments;
        (OperatorCommand::Submit(SubmitOptions { folder, platform, remove, above }), arguments.json)
    }
}

impl From<FetchArguments> for (OperatorCommand, bool) {
    fn from(arguments: FetchArguments) -> Self {
        let platform = platform_options(arguments.platform, arguments.namespace);
        (
            OperatorCommand::Fetch(FetchOptions { folder: arguments.folder, platform }),
            arguments.json,
        )
    }
}

impl From<StatusArguments> for (OperatorCommand, bool) {
    fn from(arguments: StatusArguments) -> Self {
        let platform = platform_options(arguments.platform, arguments.namespace);
        (
            OperatorCommand::Status(StatusOptions { platform, instances: arguments.admin }),
            arguments.json,
        )
    }
}

impl From<DrainArguments> for (OperatorCommand, bool) {
    fn from(arguments: DrainArguments) -> Self {
        let platform = platform_options(arguments.platform, arguments.namespace);
        let DrainArguments { member, service, undo, .. } = arguments;
        (OperatorCommand::Drain(DrainOptions { platform, service, member, undo }), arguments.json)
    }
}

impl From<SwitchArguments> for (OperatorCommand, bool) {
    fn from(arguments: SwitchArguments) -> Self {
        let platform = platform_options(arguments.platform, arguments.namespace);
        let wait = Duration::from_secs(arguments.wait);
        let options =
            SwitchOptions { platform, service: arguments.service, target: arguments.to, wait };
        (OperatorCommand::Switch(options), arguments.json)
    }
}

impl From<ExplainArguments> for (OperatorCommand, bool) {
    fn from(arguments: ExplainArguments) -> Self {
        let options = ExplainOptions { request: arguments.request, logs: arguments.logs };
        (OperatorCommand::Explain(options), arguments.json)
    }
}
