//! Memory that an instance uses for each declared group, when it keeps (probes and votes for) only
//! some of the groups.

use crate::MeasureError;
use crate::instance::InstanceProcess;
use rudder_standins::{Deployment, DeploymentPlan, GroupSettings};
use serde_json::json;
use std::time::Duration;

/// Numbers of groups to measure.
const SIZES: [usize; 3] = [0, 36, 108];

/// Number of instances, four in each failure domain, so that each keeps a quarter of the groups.
const INSTANCES: usize = 12;

/// Delay before memory is read, until the assignment of groups to instances and memory are stable.
const SETTLE: Duration = Duration::from_secs(5);

pub(crate) async fn measure() -> Result<(), MeasureError> {
    for groups in SIZES {
        measure_groups(groups).await?;
    }
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
    let resident: Vec<_> =
        instances.iter().map(InstanceProcess::resident_kb).collect::<Result<_, _>>()?;
    crate::print_figure(&json!({
        "figure": "declared_groups", "groups": groups, "instances": INSTANCES,
        "mean_kept": groups * 3 / INSTANCES,
        "mean_resident_kb": resident.iter().sum::<u64>() / INSTANCES as u64,
        "resident_kb": resident,
    }));
    Ok(())
}
