//! Runs the platform stand-in, a minimal object API, as a separate process.
//!
//! `cargo run -p rudder-standins --example platform -- --listen 127.0.0.1:18001 --folder
//! examples/inanga-scores` prints its address once the folder is accepted. `POST /standin/faults`
//! with a JSON object such as `{"latency_ms": 200}` enables faults.

use rudder_standins::{PlatformStandin, StandinInstance};
use rudder_store::{FolderChange, KubeStore, PlatformOptions, submit_change};
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// a small object API in the platform's place
#[derive(argh::FromArgs)]
struct StandinOptions {
    /// the address to listen at
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 18001))")]
    listen: SocketAddr,
    /// a folder of settings files, accepted at start
    #[argh(option)]
    folder: Option<PathBuf>,
    /// a live instance as NAME=IP; may be given several times
    #[argh(option)]
    instance: Vec<String>,
    /// seconds after which the stand-in ends; without it, it runs until it is killed
    #[argh(option)]
    seconds: Option<u64>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options: StandinOptions = argh::from_env();
    let standin = PlatformStandin::start(options.listen).await?;
    let instances: Result<Vec<_>, _> =
        options.instance.iter().map(|text| parse_instance(text)).collect();
    standin.set_instances(instances?, Duration::ZERO);
    if let Some(folder) = &options.folder {
        let store = KubeStore::connect(PlatformOptions::at(&standin.url()))?;
        let put = rudder_settings::read_folder(folder)?;
        let outcome =
            submit_change(&store, FolderChange { put, ..FolderChange::default() }).await?;
        println!("accepted revision {}", outcome.number);
    }
    println!("platform stand-in at {}", standin.url());
    match options.seconds {
        Some(seconds) => tokio::time::sleep(Duration::from_secs(seconds)).await,
        None => std::future::pending().await,
    }
    Ok(())
}

fn parse_instance(text: &str) -> Result<StandinInstance, Box<dyn Error>> {
    let (name, address) = text.split_once('=').ok_or("--instance must have the form NAME=IP")?;
    Ok(StandinInstance { name: name.parse()?, address: address.parse()?, leaving: false })
}
