//! Time from the submission of a change of settings until it is in force on every proxy.

use crate::MeasureError;
use rudder_standins::{Deployment, DeploymentPlan};
use serde_json::json;
use std::time::{Duration, Instant};

/// Numbers of proxies to measure, all in this process.
const SIZES: [usize; 3] = [3, 7, 14];

/// Number of changes for each number of proxies.
const CHANGES: u32 = 3;

/// Interval at which the proxies' revisions are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Delay between two changes, so that they occur at different times between the proxies' polls.
const CHANGE_DELAY: Duration = Duration::from_millis(700);

pub(crate) async fn measure() -> Result<(), MeasureError> {
    for proxies in SIZES {
        let deployment = Deployment::start(DeploymentPlan::small(proxies)).await?;
        tokio::time::sleep(CHANGE_DELAY).await;
        let mut in_force_ms = Vec::new();
        let mut submitted_ms = Vec::new();
        for change in 1..=CHANGES {
            let text = caller_settings(change);
            let started = Instant::now();
            deployment.submit("20-callers.toml", &text).await?;
            submitted_ms.push(started.elapsed().as_millis());
            let revision = u64::from(change) + 1;
            while deployment.proxies.iter().flatten().any(|proxy| proxy.revision() < revision) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            in_force_ms.push(started.elapsed().as_millis());
            tokio::time::sleep(CHANGE_DELAY).await;
        }
        crate::print_figure(&json!({
            "figure": "settings_in_force", "proxies": proxies, "submitted_ms": submitted_ms,
            "all_ms": in_force_ms,
        }));
    }
    Ok(())
}

fn caller_settings(change: u32) -> String {
    format!(
        "[callers.archive]\nusers = [\"archive\"]\nstaleness = \"2s\"\nqueue_wait = \"5s\"\n\
         in_flight_max = {change}\n"
    )
}
