//! Runs a command and prints its result.

use crate::command;
use crate::options::{OperatorCommand, RunOptions};
use crate::output::{ExitStatus, print};

/// Runs the selected command.
pub(crate) fn run(options: &RunOptions) -> ExitStatus {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the operating system gives one thread and one poller");
    let result = runtime.block_on(async {
        match &options.command {
            OperatorCommand::Check(options) => command::check(options),
            OperatorCommand::Submit(options) => command::submit(options).await,
            OperatorCommand::Fetch(options) => command::fetch(options).await,
            OperatorCommand::Status(options) => command::status(options).await,
            OperatorCommand::Drain(options) => command::drain(options).await,
            OperatorCommand::Switch(options) => command::switch(options).await,
            OperatorCommand::Explain(options) => command::explain(options),
        }
    });
    print(&result, options.format)
}
