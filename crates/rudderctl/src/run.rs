//! Runs a command and prints its result.

use crate::command;
use crate::options::{ControlCommand, ControlOptions};
use crate::output::{ExitStatus, print};

/// Runs the selected command.
pub(crate) fn run(options: &ControlOptions) -> ExitStatus {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the operating system gives one thread and one poller");
    let result = runtime.block_on(async {
        match &options.command {
            ControlCommand::Check(options) => command::check(options),
            ControlCommand::Submit(options) => command::submit(options).await,
            ControlCommand::Fetch(options) => command::fetch(options).await,
            ControlCommand::Status(options) => command::status(options).await,
            ControlCommand::Drain(options) => command::drain(options).await,
            ControlCommand::Switch(options) => command::switch(options).await,
            ControlCommand::Explain(options) => command::explain(options),
        }
    });
    print(&result, options.format)
}
