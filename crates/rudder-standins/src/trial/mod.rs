//! Runs a complete deployment with concurrent callers under generated faults and records the
//! history for the checker.

mod caller;
mod schedule;

use crate::deployment::{Deployment, DeploymentError, DeploymentPlan};
use crate::group::GroupSettings;
use caller::{CallerRecord, TrialCaller, TrialShared};
use rudder_core::{HistoryLog, MemberRole, ServiceName, StoredValue};
pub use schedule::{FaultKind, TimedFault, TrialSchedule};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Number of callers of a run.
const CALLER_COUNT: usize = 12;

/// Time within which the group must accept writes again after the last fault has ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

const SETTINGS: &str = "[callers.copyist]\nusers = [\"copyist\"]\nstaleness = \"2s\"\n\
                        queue_wait = \"2s\"\nin_flight_max = 400\n\
                        [callers.auditor]\nusers = [\"auditor\"]\nstaleness = \"0ms\"\n\
                        queue_wait = \"2s\"\nin_flight_max = 400\n";

/// Result of a run.
pub struct TrialReport {
    /// Outcomes reported to the callers, and the primary's data at the end.
    pub log: HistoryLog,
    /// Number of requests without a response, for example because the connection broke.
    pub unanswered: usize,
    /// Whether the group accepted writes again after the last fault had ended.
    pub recovered: bool,
}

/// Runs callers against three proxies and a group of three members, while the faults of `schedule`
/// start and end.
///
/// # Errors
///
/// Returns a [`DeploymentError`] if the deployment does not start.
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// use rudder_standins::{TrialSchedule, run_trial};
/// use std::time::Duration;
/// let calm = TrialSchedule { faults: Vec::new(), length: Duration::from_millis(300), seed: 1 };
/// let report = run_trial(&calm).await.unwrap();
/// assert_eq!(rudder_core::check_history(&report.log), Vec::new());
/// # });
/// # Ok::<(), std::io::Error>(())
/// ```
pub async fn run_trial(schedule: &TrialSchedule) -> Result<TrialReport, DeploymentError> {
    let mut plan =
        DeploymentPlan { extra_settings: SETTINGS.to_owned(), ..DeploymentPlan::small(3) };
    plan.groups = vec![GroupSettings::loopback(unique_service_name())];
    let mut deployment = Deployment::start(plan).await?;
    create_tables(&deployment).await;
    let shared = Arc::new(TrialShared::new(&deployment, schedule));
    let mut callers = JoinSet::new();
    for index in 0..CALLER_COUNT {
        callers.spawn(TrialCaller::new(Arc::clone(&shared), index, schedule.seed).run());
    }
    schedule.run_faults(&mut deployment, &shared).await;
    shared.stop();
    let records = callers.join_all().await;
    let recovered = await_recovery(&deployment).await;
    let stored = read_primary(&deployment).await;
    Ok(build_report(records, stored, recovered))
}

/// Returns a service name that no other run on this machine uses. A proxy of this run may get the
/// port of a killed proxy of another run, whose callers would otherwise write to this run's group.
fn unique_service_name() -> ServiceName {
    static RUN_COUNT: AtomicU64 = AtomicU64::new(0);
    let run = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("trial-{}-{run}", std::process::id());
    name.parse().expect("the name has only allowed characters")
}

fn build_report(
    records: Vec<CallerRecord>,
    stored: Vec<StoredValue>,
    recovered: bool,
) -> TrialReport {
    let mut log = HistoryLog { stored, ..HistoryLog::default() };
    let mut unanswered = 0;
    for record in records {
        log.writes.extend(record.writes);
        log.reads.extend(record.reads);
        unanswered += record.unanswered;
    }
    TrialReport { log, unanswered, recovered }
}

async fn create_tables(deployment: &Deployment) {
    let client = connect(deployment.proxy(0).listen_address(), deployment, "").await;
    let client = client.expect("a fresh deployment takes logins");
    client
        .batch_execute("CREATE TABLE entries (row text, value int8)")
        .await
        .expect("a fresh deployment takes writes");
    client
        .batch_execute("CREATE TABLE rudder_requests (key text PRIMARY KEY, outcome text)")
        .await
        .expect("a fresh deployment takes writes");
}

/// Retries a write through a proxy until it is acknowledged or [`RECOVERY_TIMEOUT`] has passed.
async fn await_recovery(deployment: &Deployment) -> bool {
    let started = Instant::now();
    while started.elapsed() < RECOVERY_TIMEOUT {
        let address = deployment
            .proxies
            .iter()
            .flatten()
            .next()
            .map(arbutusrudder::ProxyInstance::listen_address);
        if let Some(address) = address
            && let Ok(client) = connect(address, deployment, "").await
            && client.batch_execute("CREATE TABLE IF NOT EXISTS again (id int)").await.is_ok()
        {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

/// Reads all stored values directly from the primary with the latest accepted position.
async fn read_primary(deployment: &Deployment) -> Vec<StoredValue> {
    let group = &deployment.groups[0];
    let primaries = group.members().filter_map(|(name, address)| {
        let status = group.status(name).ok()?;
        (status.role == MemberRole::Primary).then_some((status.accepted, address))
    });
    let Some((_, address)) = primaries.max() else { return Vec::new() };
    let words = format!("host={} port={} user=app dbname=db", address.ip(), address.port());
    let Ok((client, connection)) = tokio_postgres::connect(&words, NoTls).await else {
        return Vec::new();
    };
    tokio::spawn(connection);
    let messages = client.simple_query("SELECT row, value FROM entries").await.unwrap_or_default();
    messages.iter().filter_map(parse_stored_value).collect()
}

fn parse_stored_value(message: &SimpleQueryMessage) -> Option<StoredValue> {
    match message {
        SimpleQueryMessage::Row(row) => {
            Some(StoredValue { row: row.get(0)?.to_owned(), value: row.get(1)?.parse().ok()? })
        }
        _ => None,
    }
}

async fn connect(
    address: SocketAddr,
    deployment: &Deployment,
    words: &str,
) -> Result<Client, tokio_postgres::Error> {
    let text = format!(
        "host={} port={} user=copyist dbname={} sslmode=disable {words}",
        address.ip(),
        address.port(),
        deployment.groups[0].service()
    );
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}
