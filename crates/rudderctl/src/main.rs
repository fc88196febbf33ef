//! Command-line tool for operators of arbutusrudder.

mod address;
mod arguments;
mod base;
mod command;
mod error;
mod explain;
mod options;
mod output;
mod platform;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    match arguments::parse_command_line() {
        Ok(options) => run::run(&options).into(),
        Err(exit) => exit.into(),
    }
}
