//! Memory that an instance uses for each idle caller.

use crate::MeasureError;
use crate::instance::InstanceProcess;
use rudder_standins::{Deployment, DeploymentPlan};
use serde_json::json;
use std::time::Duration;
use tokio_postgres::{Client, NoTls};

/// Numbers of connected callers to measure.
const SIZES: [usize; 3] = [0, 1000, 3000];

/// Delay before memory is read, in which memory used by logins can be freed.
const SETTLE: Duration = Duration::from_secs(2);

pub(crate) async fn measure() -> Result<(), MeasureError> {
    let deployment = Deployment::start(DeploymentPlan::small(0)).await?;
    let instance = InstanceProcess::start(&deployment, &[]).await?;
    let mut clients = Vec::new();
    let mut baseline = 0;
    for size in SIZES {
        while clients.len() < size {
            clients.push(connect(&instance).await?);
        }
        tokio::time::sleep(SETTLE).await;
        let resident = instance.resident_kb()?;
        if size == 0 {
            baseline = resident;
        }
        let kb_per_caller = resident.saturating_sub(baseline) as f64 / size.max(1) as f64;
        crate::print_figure(&json!({
            "figure": "idle_callers", "callers": size, "resident_kb": resident,
            "kb_per_caller": kb_per_caller,
        }));
    }
    Ok(())
}

/// Connects one caller to `instance`.
pub(crate) async fn connect(instance: &InstanceProcess) -> Result<Client, MeasureError> {
    let connection_string = format!(
        "host={} port={} user=app dbname=scores-orders sslmode=disable",
        instance.address.ip(),
        instance.address.port(),
    );
    let (client, connection) = tokio_postgres::connect(&connection_string, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}
