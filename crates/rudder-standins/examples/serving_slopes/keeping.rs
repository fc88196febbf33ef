//! What an instance spends on groups that it keeps and nobody uses.

use crate::MeasureError;
use crate::instance::InstanceProcess;
use crate::relay::{MemberRelay, PassedTraffic};
use rudder_standins::{CallCounts, Deployment, DeploymentPlan, GroupSettings};
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Groups at each size. The only instance keeps them all.
const SIZES: [usize; 4] = [0, 1, 3, 9];

/// Until the first rounds after a start are over.
const SETTLE: Duration = Duration::from_secs(5);

/// All sizes at the same time, each with its own instance, members and platform.
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
    let passed = Arc::new(PassedTraffic::default());
    let relays = MemberRelay::start_all(&deployment, &passed).await?;
    let instance = InstanceProcess::start(&deployment, &relays).await?;
    tokio::time::sleep(SETTLE).await;

    let calls = deployment.platform.calls();
    let bytes = passed.bytes.load(Ordering::Relaxed);
    let questions = passed.questions.load(Ordering::Relaxed);
    let processor = instance.processor_time()?;
    let started = Instant::now();
    tokio::time::sleep(window).await;
    let seconds = started.elapsed().as_secs_f64();
    let spent = (instance.processor_time()? - processor).as_secs_f64();
    let bytes = passed.bytes.load(Ordering::Relaxed) - bytes;
    let questions = passed.questions.load(Ordering::Relaxed) - questions;
    let quiet = since(&deployment.platform.calls(), &calls);
    crate::print(&json!({
        "figure": "kept_quiet_groups", "groups": groups,
        "questions_per_second": questions as f64 / seconds,
        "member_bytes_per_second": bytes as f64 / seconds,
        "percent_of_a_core": spent / seconds * 100.0,
        "resident_kb": instance.resident_kb()?,
        "platform_reads_per_second": quiet.reads as f64 / seconds,
        "platform_writes_per_second": quiet.writes as f64 / seconds,
        "platform_bytes_per_second":
            (quiet.received_bytes + quiet.sent_bytes) as f64 / seconds,
    }));

    let calls = deployment.platform.calls();
    instance.kill().await?;
    let _instance = InstanceProcess::start(&deployment, &relays).await?;
    tokio::time::sleep(SETTLE).await;
    let restart = since(&deployment.platform.calls(), &calls);
    crate::print(&json!({
        "figure": "restart", "groups": groups, "seconds": SETTLE.as_secs(),
        "platform_reads": restart.reads, "platform_writes": restart.writes,
    }));
    Ok(())
}

fn since(now: &CallCounts, before: &CallCounts) -> CallCounts {
    CallCounts {
        reads: now.reads - before.reads,
        writes: now.writes - before.writes,
        received_bytes: now.received_bytes - before.received_bytes,
        sent_bytes: now.sent_bytes - before.sent_bytes,
    }
}
