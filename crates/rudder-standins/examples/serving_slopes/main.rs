//! What serving, keeping and settings cost one instance, at several sizes, on loopback.
//!
//! Prints one JSON line for each figure. Instances whose memory or processor time is measured run
//! in processes of their own; all else runs in this one. Takes 135 s in all.

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

/// Any error of a measurement; it ends the run.
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
    let wanted = |part: &str| arguments.part == "all" || arguments.part == part;
    if wanted("probe") {
        probe::measure().await?;
    }
    if wanted("callers") {
        callers::measure().await?;
    }
    if wanted("statements") {
        statements::measure().await?;
    }
    if wanted("keeping") {
        keeping::measure(arguments.seconds).await?;
    }
    if wanted("votes") {
        votes::measure().await?;
    }
    if wanted("declared") {
        declared::measure().await?;
    }
    if wanted("settings") {
        settings::measure().await?;
    }
    Ok(())
}

/// Prints one figure.
fn print(line: &Value) {
    println!("{line}");
}
