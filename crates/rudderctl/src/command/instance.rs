//! Requests the status page of one instance.

use http::Request;
use kube::{Client, Config};
use rudder_core::{InstanceName, LogTerm, MemberName, ServiceName};
use rudder_store::RevisionNumber;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a status request. Instances serve the page from memory, so slower ones count as
/// unreachable.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Status that an instance reports.
#[derive(Serialize, Deserialize)]
pub(crate) struct InstanceStatus {
    pub(crate) instance: InstanceName,
    pub(crate) revision: RevisionNumber,
    #[serde(default)]
    pub(crate) leaving: bool,
    #[serde(default)]
    pub(crate) groups: Vec<GroupStatus>,
}

/// Status that an instance reports for a database group.
#[derive(Serialize, Deserialize)]
pub(crate) struct GroupStatus {
    pub(crate) service: ServiceName,
    pub(crate) term: Option<LogTerm>,
    pub(crate) primary: Option<MemberName>,
}

/// Admin address of an instance and the result of the status request.
#[derive(Serialize)]
pub(crate) struct InstanceResponse {
    pub(crate) admin: SocketAddr,
    #[serde(flatten)]
    pub(crate) outcome: StatusOutcome,
}

/// Result of a status request.
#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum StatusOutcome {
    Status(InstanceStatus),
    Unreachable(String),
}

/// Requests the status page at an admin address.
pub(crate) async fn query_instance(admin: SocketAddr) -> InstanceResponse {
    let outcome = match tokio::time::timeout(STATUS_TIMEOUT, read_status(admin)).await {
        Ok(Ok(status)) => StatusOutcome::Status(status),
        Ok(Err(error)) => StatusOutcome::Unreachable(unreachable_reason(&error)),
        Err(_) => StatusOutcome::Unreachable("no answer in time".to_owned()),
    };
    InstanceResponse { admin, outcome }
}

async fn read_status(admin: SocketAddr) -> Result<InstanceStatus, kube::Error> {
    let address = format!("http://{admin}").parse().expect("a socket address makes a URL");
    let mut config = Config::new(address);
    config.default_retry = false;
    let client = Client::try_from(config)?;
    let request = Request::get("/status").body(Vec::new()).map_err(kube::Error::HttpError)?;
    client.request(request).await
}

fn unreachable_reason(error: &kube::Error) -> String {
    match error {
        kube::Error::Api(status) => format!("it answered {}", status.code),
        kube::Error::SerdeError(error) => format!("its answer is no status page: {error}"),
        _ => "nobody answers at this address".to_owned(),
    }
}
