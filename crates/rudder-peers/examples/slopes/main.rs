//! Runs fleets of several sizes on loopback and prints the resource use per instance as JSON lines.
//!
//! `cargo run --release -p rudder-peers --example slopes -- --sizes 7,20,60,180 --seconds 10`

#![allow(clippy::print_stdout, reason = "the example's result goes to standard output")]

mod fleet;
mod planned;
mod process;
mod run;

use argh::FromArgs;
use run::{RunError, SizeRun};
use std::str::FromStr;
use std::time::Duration;

/// Measures what an instance spends on its peers, at several fleet sizes.
#[derive(FromArgs)]
struct SlopeOptions {
    /// fleet sizes, ascending, separated by commas
    #[argh(option, default = "SizeList(vec![7, 20, 60, 180])")]
    sizes: SizeList,

    /// seconds of quiet that are measured at each size
    #[argh(option, default = "10")]
    seconds: u64,
}

#[derive(Clone, Debug)]
struct SizeList(Vec<usize>);

impl FromStr for SizeList {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let sizes: Result<Vec<usize>, _> = text.split(',').map(str::parse).collect();
        Ok(Self(sizes?))
    }
}

#[tokio::main]
async fn main() -> Result<(), RunError> {
    let options: SlopeOptions = argh::from_env();
    for line in planned::lines() {
        println!("{line}");
    }
    let idle_duration = Duration::from_secs(options.seconds);
    for size in options.sizes.0 {
        println!("{}", SizeRun { size, idle_duration }.run().await?);
    }
    Ok(())
}
