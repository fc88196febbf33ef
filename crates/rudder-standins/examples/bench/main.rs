//! Measures the overhead of a proxy: one client sends the same statements directly to a member and
//! through one proxy, in one run.
//!
//! Statements are sent one at a time on each connection, by the simple query protocol or as a
//! prepared statement. Prints one JSON line for each measurement to the standard output and a
//! readable table to the standard error.

mod client;
mod load;
mod processor;
mod report;

use argh::FromArgs;
use client::{BenchClient, BenchTarget};
use load::{LoadRun, StatementKind};
use report::{BenchReport, Measurement, PathKind};
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of rows in the test table.
const TABLE_ROWS: usize = 1000;

/// Number of alternating runs on each path. Alternation spreads a drift of the machine's speed
/// over both paths.
const ROUNDS: u32 = 2;

/// Maximum time until the new table can be read on every path.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Compare point reads direct and through a proxy.
#[derive(FromArgs)]
struct BenchArguments {
    /// address of the group's primary
    #[argh(option)]
    direct: SocketAddr,
    /// address of the proxy; without it only the direct path is measured
    #[argh(option)]
    proxy: Option<SocketAddr>,
    /// database (service) to ask for
    #[argh(option, default = "\"scores-orders\".to_owned()")]
    database: String,
    /// user to log in as
    #[argh(option, default = "\"bench\".to_owned()")]
    user: String,
    /// seconds of the whole measurement
    #[argh(option, default = "24")]
    seconds: u32,
    /// comma-separated numbers of connections
    #[argh(option, default = "\"1,32,256\".to_owned()")]
    connections: String,
    /// statement to measure: read, prepared or write; a prepared one is a read too
    #[argh(option, default = "StatementKind::Read")]
    statement: StatementKind,
    /// statements a second of all connections together; as many as possible without it
    #[argh(option)]
    rate: Option<u32>,
    /// process id of the proxy, for its processor time
    #[argh(option)]
    proxy_pid: Option<u32>,
    /// process id of the group's stand-in, for its processor time
    #[argh(option)]
    direct_pid: Option<u32>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: BenchArguments = argh::from_env();
    let counts: Result<Vec<usize>, _> =
        arguments.connections.split(',').map(|count| count.trim().parse()).collect();
    let counts = counts?;
    let paths = paths(&arguments);
    create_table(&paths[0].1).await?;
    for (_, target) in &paths {
        wait_ready(target).await?;
    }
    let runs = counts.len() as u32 * paths.len() as u32 * ROUNDS;
    let time = Duration::from_secs(arguments.seconds.into()) / runs.max(1);
    let mut report = BenchReport::default();
    for &connections in &counts {
        let mut measurements: Vec<_> =
            paths.iter().map(|(kind, _)| Measurement::new(*kind, connections)).collect();
        for _ in 0..ROUNDS {
            for ((_, target), measurement) in paths.iter().zip(&mut measurements) {
                let run = LoadRun {
                    target,
                    connections,
                    time,
                    statement: arguments.statement,
                    rate: arguments.rate,
                    pids: (arguments.proxy_pid, arguments.direct_pid),
                };
                run.run(measurement).await?;
            }
        }
        report.add(&measurements);
    }
    report.print_table();
    Ok(())
}

fn paths(arguments: &BenchArguments) -> Vec<(PathKind, BenchTarget)> {
    let target = |address| BenchTarget {
        address,
        database: arguments.database.clone(),
        user: arguments.user.clone(),
    };
    let mut paths = vec![(PathKind::Direct, target(arguments.direct))];
    paths.extend(arguments.proxy.map(|proxy| (PathKind::Proxy, target(proxy))));
    paths
}

/// Creates and fills the test table.
async fn create_table(target: &BenchTarget) -> Result<(), Box<dyn Error>> {
    let mut client = BenchClient::connect(target).await?;
    client.run("DROP TABLE IF EXISTS bench").await?;
    client.run("CREATE TABLE bench (id int4 PRIMARY KEY, note text)").await?;
    let rows: Vec<_> = (0..TABLE_ROWS).map(|id| format!("({id}, 'note {id}')")).collect();
    client.run(&format!("INSERT INTO bench VALUES {}", rows.join(", "))).await?;
    Ok(())
}

/// Waits until reads succeed, as replicas receive the new table with a delay.
async fn wait_ready(target: &BenchTarget) -> Result<(), Box<dyn Error>> {
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    loop {
        let ready = match BenchClient::connect(target).await {
            Ok(mut client) => client.run("SELECT note FROM bench WHERE id = 1").await,
            Err(error) => Err(error),
        };
        match ready {
            Ok(()) => return Ok(()),
            Err(error) if tokio::time::Instant::now() > deadline => return Err(error.into()),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}
