//! Measures how the cost of an instance grows with callers, statements, groups and proxies, on
//! loopback.
//!
//! Prints one JSON line for each figure. Instances whose memory or processor time is measured run
//! in separate processes; everything else runs in this process. A full run takes 135 s.

mod callers;
mod declared;
mod instance;
mod keeping;
mod probe;
mod relay;
mod settings;
mod statements;
mod votes;

use argh::FromArgs;
use serde_json::Value;
use std::error::Error;

/// Error of a measurement, which aborts the run.
type MeasureError = Box<dyn Error + Send + Sync>;

/// Slopes of serving, keeping and settings.
#[derive(FromArgs)]
struct SlopeArguments {
    /// what to measure: all, probe, callers, statements, keeping, votes, declared or settings
    #[argh(option, default = "\"all\".to_owned()")]
    part: String,
    /// seconds for which quiet groups are watched; a multiple of 15, as grants are read each 15 s
    #[argh(option, default = "30")]
    seconds: u64,
    /// serve as a measured instance with these process settings; the example calls itself so
    #[argh(option)]
    instance: Option<String>,
}

#[tokio::main]
async fn main() -> Result<(), MeasureError> {
    let arguments: SlopeArguments = argh::from_env();
    if let Some(text) = &arguments.instance {
        return instance::serve(text).await;
    }
    let is_selected = |part: &str| arguments.part == "all" || arguments.part == part;
    if is_selected("probe") {
        probe::measure().await?;
    }
    if is_selected("callers") {
        callers::measure().await?;
    }
    if is_selected("statements") {
        statements::measure().await?;
    }
    if is_selected("keeping") {
        keeping::measure(arguments.seconds).await?;
    }
    if is_selected("votes") {
        votes::measure().await?;
    }
    if is_selected("declared") {
        declared::measure().await?;
    }
    if is_selected("settings") {
        settings::measure().await?;
    }
    Ok(())
}

/// Prints one figure as a JSON line.
fn print_figure(line: &Value) {
    println!("{line}");
}
