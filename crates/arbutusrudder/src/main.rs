//! Entry point of the proxy.

use arbutusrudder::{ProxyError, ProxyOptions};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("arbutusrudder: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), ProxyError> {
    arbutusrudder::run(&ProxyOptions::from_command_line()?)
}
