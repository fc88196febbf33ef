//! Traffic between three instances that keep (probe and vote for) the same idle groups.

use crate::MeasureError;
use crate::instance::InstanceProcess;
use rudder_standins::{Deployment, DeploymentPlan, GroupSettings};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Numbers of groups to measure. Each of the three instances keeps them all.
const SIZES: [usize; 4] = [0, 1, 3, 9];

/// Number of instances, one in each failure domain.
const INSTANCES: usize = 3;

/// Delay until the instances have discovered each other and the first rounds of messages are over.
const SETTLE: Duration = Duration::from_secs(5);

/// Duration of the measurement.
const WINDOW: Duration = Duration::from_secs(10);

/// Measures all sizes at the same time.
pub(crate) async fn measure() -> Result<(), MeasureError> {
    futures::future::try_join_all(SIZES.map(measure_groups)).await?;
    Ok(())
}

async fn measure_groups(groups: usize) -> Result<(), MeasureError> {
    let mut plan = DeploymentPlan::small(0);
    plan.groups = (1..=groups)
        .map(|number| Ok(GroupSettings::loopback(format!("scores-{number}").parse()?)))
        .collect::<Result<_, MeasureError>>()?;
    let deployment = Deployment::start(plan).await?;
    let mut instances = Vec::new();
    for _ in 0..INSTANCES {
        instances.push(InstanceProcess::join(&deployment, &[], &instances).await?);
    }
    tokio::time::sleep(SETTLE).await;
    let admin = instances[0].admin;
    let (before, processor) = (metrics_page(admin).await?, instances[0].processor_time()?);
    let started = Instant::now();
    tokio::time::sleep(WINDOW).await;
    let seconds = started.elapsed().as_secs_f64();
    let (after, spent) = (metrics_page(admin).await?, instances[0].processor_time()? - processor);
    let rate = |name: &str| (sum(&after, name) - sum(&before, name)) / seconds;
    crate::print_figure(&json!({
        "figure": "kept_together", "groups": groups, "instances": INSTANCES,
        "peer_bytes_per_second": rate("rudder_peer_bytes_total"),
        "peer_datagrams_per_second": rate("rudder_peer_datagrams_total"),
        "withheld_per_second": rate("rudder_peer_withheld_total"),
        "percent_of_a_core": spent.as_secs_f64() / seconds * 100.0,
    }));
    Ok(())
}

async fn metrics_page(admin: SocketAddr) -> Result<String, MeasureError> {
    let mut stream = TcpStream::connect(admin).await?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await?;
    let mut page = String::new();
    stream.read_to_string(&mut page).await?;
    Ok(page)
}

/// Returns the sum of a metric over all its labels.
fn sum(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
