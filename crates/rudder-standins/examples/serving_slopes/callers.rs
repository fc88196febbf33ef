//! Memory of an instance for each idle caller.

use crate::MeasureError;
use crate::instance::InstanceProcess;
use rudder_standins::{Deployment, DeploymentPlan};
use serde_json::json;
use std::time::Duration;
use tokio_postgres::{Client, NoTls};

/// Callers connected at each size.
const SIZES: [usize; 3] = [0, 1000, 3000];

/// Until memory is read, so that what logging in needed can be given back.
const SETTLE: Duration = Duration::from_secs(2);

pub(crate) async fn measure() -> Result<(), MeasureError> {
    let deployment = Deployment::start(DeploymentPlan::small(0)).await?;
    let instance = InstanceProcess::start(&deployment, &[]).await?;
    let mut clients = Vec::new();
    let mut first = 0;
    for size in SIZES {
        while clients.len() < size {
            clients.push(connect(&instance).await?);
        }
        tokio::time::sleep(SETTLE).await;
        let resident = instance.resident_kb()?;
        if size == 0 {
            first = resident;
        }
        let each = resident.saturating_sub(first) as f64 / size.max(1) as f64;
        crate::print(&json!({
            "figure": "idle_callers", "callers": size, "resident_kb": resident,
            "kb_per_caller": each,
        }));
    }
    Ok(())
}

/// Connects one caller.
pub(crate) async fn connect(instance: &InstanceProcess) -> Result<Client, MeasureError> {
    let words = format!(
        "host={} port={} user=app dbname=scores-orders sslmode=disable",
        instance.address.ip(),
        instance.address.port(),
    );
    let (client, connection) = tokio_postgres::connect(&words, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}
