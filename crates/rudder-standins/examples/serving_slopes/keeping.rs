//! Cost of idle groups for the instance that keeps them (probes their members and votes for them),
//! and of a restart.

use crate::MeasureError;
use crate::instance::InstanceProcess;
use crate::relay::{MemberRelay, RelayTraffic};
use rudder_standins::{CallCounts, Deployment, DeploymentPlan, GroupSettings};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Numbers of groups to measure. The only instance keeps them all.
const SIZES: [usize; 4] = [0, 1, 3, 9];

/// Delay after a start, in which the first probes and platform calls complete.
const SETTLE: Duration = Duration::from_secs(5);

/// Measures all sizes at the same time, each with its own instance, members and platform.
pub(crate) async fn measure(seconds: u64) -> Result<(), MeasureError> {
    let window = Duration::from_secs(seconds);
    let runs = SIZES.map(|groups| measure_groups(groups, window));
    futures::future::try_join_all(runs).await?;
    Ok(())
}

async fn measure_groups(groups: usize, window: Duration) -> Result<(), MeasureError> {
    let mut plan = DeploymentPlan::small(0);
    plan.groups = (1..=groups)
        .map(|number| Ok(GroupSettings::loopback(format!("scores-{number}").parse()?)))
        .collect::<Result<_, MeasureError>>()?;
    let deployment = Deployment::start(plan).await?;
    let traffic = Arc::new(RelayTraffic::default());
    let relays = MemberRelay::start_all(&deployment, &traffic).await?;
    let instance = InstanceProcess::start(&deployment, &relays).await?;
    tokio::time::sleep(SETTLE).await;

    let calls_before = deployment.platform.calls();
    let bytes = traffic.bytes.load(Ordering::Relaxed);
    let requests = traffic.requests.load(Ordering::Relaxed);
    let processor = instance.processor_time()?;
    let started = Instant::now();
    tokio::time::sleep(window).await;
    let seconds = started.elapsed().as_secs_f64();
    let spent = (instance.processor_time()? - processor).as_secs_f64();
    let bytes = traffic.bytes.load(Ordering::Relaxed) - bytes;
    let requests = traffic.requests.load(Ordering::Relaxed) - requests;
    let calls = difference(&deployment.platform.calls(), &calls_before);
    crate::print_figure(&json!({
        "figure": "kept_quiet_groups", "groups": groups,
        "questions_per_second": requests as f64 / seconds,
        "member_bytes_per_second": bytes as f64 / seconds,
        "percent_of_a_core": spent / seconds * 100.0,
        "resident_kb": instance.resident_kb()?,
        "platform_reads_per_second": calls.reads as f64 / seconds,
        "platform_writes_per_second": calls.writes as f64 / seconds,
        "platform_bytes_per_second":
            (calls.received_bytes + calls.sent_bytes) as f64 / seconds,
    }));

    let calls_before = deployment.platform.calls();
    instance.kill().await?;
    let _instance = InstanceProcess::start(&deployment, &relays).await?;
    tokio::time::sleep(SETTLE).await;
    let restart_calls = difference(&deployment.platform.calls(), &calls_before);
    crate::print_figure(&json!({
        "figure": "restart", "groups": groups, "seconds": SETTLE.as_secs(),
        "platform_reads": restart_calls.reads, "platform_writes": restart_calls.writes,
    }));
    Ok(())
}

fn difference(after: &CallCounts, before: &CallCounts) -> CallCounts {
    CallCounts {
        reads: after.reads - before.reads,
        writes: after.writes - before.writes,
        received_bytes: after.received_bytes - before.received_bytes,
        sent_bytes: after.sent_bytes - before.sent_bytes,
    }
}
