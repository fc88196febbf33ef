//! Measures the cost of settings of a given size: bytes, calls and processor time for submitting
//! and following them.
//!
//! `cargo run --release -p rudder-store --example settings_cost -- --services 780 --files 60`

use rudder_settings::{SettingsFile, merge_folder};
use rudder_standins::{CallCounts, PlatformStandin};
use rudder_store::{
    FolderChange, KubeStore, ObjectKind, PlatformOptions, PlatformStore, RevisionFollower,
    poll_revision, submit_change,
};
use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MEMBERS_PER_SERVICE: usize = 3;
/// Number of runs, of which the median time is reported.
const ROUNDS: usize = 21;

/// measure what settings cost at a given size
#[derive(argh::FromArgs)]
struct CostOptions {
    /// number of services, with three members each
    #[argh(option, default = "780")]
    services: usize,
    /// number of files that the services are spread over
    #[argh(option, default = "60")]
    files: usize,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let options: CostOptions = argh::from_env();
    let files = folder(&options)?;
    let text: usize = files.iter().map(|file| file.text.len()).sum();
    println!("{} services in {} files, {text} bytes of text", options.services, files.len());

    let merge = median(|| merge_folder(&files).map(|_| ()).expect("the folder is valid"));
    println!("merge and check: {merge:?}");

    let standin = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let store = KubeStore::connect(PlatformOptions::at(&standin.url()))?;
    let change = FolderChange { put: files.clone(), ..FolderChange::default() };
    submit_change(&store, change).await?;
    let bundle = poll_revision(&store, None).await?.ok_or("a revision was accepted")?;
    println!("bundle for a peer: {} bytes", serde_json::to_vec(&bundle)?.len());
    let before = standin.calls();
    poll_revision(&store, Some(&bundle)).await?;
    println!("poll that finds nothing new: {}", wire_bytes(before, standin.calls()));
    let before = standin.calls();
    store.get(ObjectKind::SettingsRevision, "accepted").await?;
    println!("the same poll by reading the revision: {}", wire_bytes(before, standin.calls()));

    let mut edited = files[0].clone();
    edited.text.push_str("# edited\n");
    let before = standin.calls();
    submit_change(&store, FolderChange { put: vec![edited], ..FolderChange::default() }).await?;
    let after = standin.calls();
    let (reads, writes) = (after.reads - before.reads, after.writes - before.writes);
    println!("submitting one file: {reads} reads, {writes} writes");

    let newer = poll_revision(&store, Some(&bundle)).await?.ok_or("the file was changed")?;
    let followed = standin.calls();
    let reads = followed.reads - after.reads;
    println!("following it: {reads} reads, {}", wire_bytes(after, followed));
    let started = standin.calls();
    poll_revision(&store, None).await?;
    let reads = standin.calls().reads - started.reads;
    println!(
        "starting without a cached revision: {reads} reads, {}",
        wire_bytes(started, standin.calls())
    );
    let adopt = median(|| {
        RevisionFollower::default().offer(newer.clone());
    });
    println!("adopting a bundle: {adopt:?}");
    Ok(())
}

fn wire_bytes(before: CallCounts, after: CallCounts) -> String {
    let received = after.received_bytes - before.received_bytes;
    let sent = after.sent_bytes - before.sent_bytes;
    format!("{received} bytes of requests, {sent} bytes of responses")
}

fn folder(options: &CostOptions) -> Result<Vec<SettingsFile>, Box<dyn Error>> {
    let domains = "[domains.a]\nregion = \"r\"\n";
    let mut files = vec![SettingsFile::new("10-domains.toml", domains)?];
    let each = options.services.div_ceil(options.files.saturating_sub(1).max(1));
    let services: Vec<usize> = (0..options.services).collect();
    for (index, chunk) in services.chunks(each).enumerate() {
        let mut text = String::new();
        for service in chunk {
            write_service(&mut text, *service)?;
        }
        files.push(SettingsFile::new(&format!("20-services-{index:03}.toml"), text)?);
    }
    Ok(files)
}

fn write_service(text: &mut String, service: usize) -> Result<(), std::fmt::Error> {
    for member in 0..MEMBERS_PER_SERVICE {
        let number = service * MEMBERS_PER_SERVICE + member;
        let (high, low) = (number / 250, number % 250 + 1);
        write!(
            text,
            "[services.service-{service}.members.service-{service}-{member}]\n\
             address = \"10.1.{high}.{low}:5432\"\ndomain = \"a\"\nslots = 5\nconnections = 30\n\n"
        )?;
    }
    Ok(())
}

fn median(mut run: impl FnMut()) -> Duration {
    let mut times: Vec<Duration> = (0..ROUNDS)
        .map(|_| {
            let started = Instant::now();
            run();
            started.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[ROUNDS / 2]
}
