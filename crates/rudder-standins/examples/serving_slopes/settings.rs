//! How long a change of settings takes until every proxy has it in force.

use crate::MeasureError;
use rudder_standins::{Deployment, DeploymentPlan};
use serde_json::json;
use std::time::{Duration, Instant};

/// Proxies at each size, all in this process.
const SIZES: [usize; 3] = [3, 7, 14];

/// Changes at each size.
const CHANGES: u32 = 3;

/// How often the proxies are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Between two changes, so that they fall on different moments between two polls.
const PAUSE: Duration = Duration::from_millis(700);

pub(crate) async fn measure() -> Result<(), MeasureError> {
    for proxies in SIZES {
        let deployment = Deployment::start(DeploymentPlan::small(proxies)).await?;
        tokio::time::sleep(PAUSE).await;
        let mut taken = Vec::new();
        let mut submitted = Vec::new();
        for change in 1..=CHANGES {
            let text = caller_text(change);
            let started = Instant::now();
            deployment.submit("20-callers.toml", &text).await?;
            submitted.push(started.elapsed().as_millis());
            let wanted = u64::from(change) + 1;
            while deployment.proxies.iter().flatten().any(|proxy| proxy.revision() < wanted) {
                tokio::time::sleep(LOOK_INTERVAL).await;
            }
            taken.push(started.elapsed().as_millis());
            tokio::time::sleep(PAUSE).await;
        }
        crate::print(&json!({
            "figure": "settings_in_force", "proxies": proxies, "submitted_ms": submitted,
            "all_ms": taken,
        }));
    }
    Ok(())
}

fn caller_text(change: u32) -> String {
    format!(
        "[callers.archive]\nusers = [\"archive\"]\nstaleness = \"2s\"\nqueue_wait = \"5s\"\n\
         in_flight_max = {change}\n"
    )
}
