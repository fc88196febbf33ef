//! Processor time that an instance uses for each statement.

use crate::MeasureError;
use crate::callers::connect;
use crate::instance::InstanceProcess;
use rudder_standins::{Deployment, DeploymentPlan};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio_postgres::Client;

/// Number of concurrent callers.
const CALLERS: u64 = 64;

/// Rates to measure, in statements per second of all callers together. The planned load of one
/// instance is 2105.
const RATES: [u64; 3] = [500, 1000, 2000];

/// Duration of the measurement at each rate.
const WINDOW: Duration = Duration::from_secs(3);

pub(crate) async fn measure() -> Result<(), MeasureError> {
    let deployment = Deployment::start(DeploymentPlan::small(0)).await?;
    let instance = InstanceProcess::start(&deployment, &[]).await?;
    let client = connect(&instance).await?;
    client.batch_execute("CREATE TABLE pages (id int PRIMARY KEY, copyist text)").await?;
    client.batch_execute("INSERT INTO pages VALUES (7, 'anna')").await?;
    for (kind, statement) in [
        ("read", "SELECT copyist FROM pages WHERE id = 7"),
        ("write", "UPDATE pages SET copyist = 'ben' WHERE id = 7"),
    ] {
        for rate in RATES {
            measure_rate(&instance, kind, statement, rate).await?;
        }
    }
    Ok(())
}

async fn measure_rate(
    instance: &InstanceProcess,
    kind: &str,
    statement: &'static str,
    rate: u64,
) -> Result<(), MeasureError> {
    let done = Arc::new(AtomicU64::new(0));
    let refused = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..CALLERS {
        let client = connect(instance).await?;
        let interval = Duration::from_secs(CALLERS) / u32::try_from(rate)?;
        tasks.spawn(send_statements(
            client,
            statement,
            interval,
            Arc::clone(&done),
            Arc::clone(&refused),
        ));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (before, processor) = (done.load(Ordering::Relaxed), instance.processor_time()?);
    let started = Instant::now();
    tokio::time::sleep(WINDOW).await;
    let seconds = started.elapsed().as_secs_f64();
    let statements = done.load(Ordering::Relaxed) - before;
    let spent = instance.processor_time()? - processor;
    crate::print_figure(&json!({
        "figure": "statements", "kind": kind, "wanted_per_second": rate,
        "done_per_second": statements as f64 / seconds,
        "refused_since_start": refused.load(Ordering::Relaxed),
        "percent_of_a_core": spent.as_secs_f64() / seconds * 100.0,
        "microseconds_per_statement": spent.as_secs_f64() * 1e6 / statements.max(1) as f64,
    }));
    Ok(())
}

/// Sends `statement` at a fixed interval and counts the results.
async fn send_statements(
    client: Client,
    statement: &str,
    interval: Duration,
    done: Arc<AtomicU64>,
    refused: Arc<AtomicU64>,
) {
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let counter = match client.simple_query(statement).await {
            Ok(_) => &done,
            Err(_) => &refused,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
