//! Measurements at one fleet size: joining, idle traffic, distribution of hints, and loss of
//! instances.

use crate::fleet::{FleetInstance, busiest, total, traffic};
use crate::process::{processor_time, resident_bytes};
use displaydoc::Display;
use rudder_core::{LogStamp, LogTerm};
use rudder_peers::{GroupHint, MeshError, PeerHint, RevisionHint};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Timeout for each state of the fleet; far longer than any takes, so that only a faulty fleet ends
/// the run.
const STATE_TIMEOUT: Duration = Duration::from_secs(180);
/// Timeout for the updates of a joining fleet to be sent. The updates of 570 instances that join at
/// once take minutes, at ten per heartbeat.
const UPDATES_TIMEOUT: Duration = Duration::from_secs(1200);
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of hints published sequentially at each size.
const HINTS: u64 = 9;
/// Interval between two hints, so that the budget is idle at each hint.
const HINT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum size of a datagram of this fleet without updates; one with updates is larger.
const BARE_BYTES_MAX: u64 = 92;
/// Period over which the fleet is checked for datagrams with updates.
const UPDATES_WINDOW: Duration = Duration::from_secs(5);
/// Number of failure domains; the loss of one stops this fraction of the instances.
const DOMAINS: usize = 7;

/// Reason for which a run ended early.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub(crate) enum RunError {
    /// an instance could not be started: {0}
    Start(MeshError),
    /// the fleet did not reach the state "{0}" in time
    Patience(&'static str),
}

impl std::error::Error for RunError {}

impl From<MeshError> for RunError {
    fn from(error: MeshError) -> Self {
        Self::Start(error)
    }
}

/// Run at one fleet size.
pub(crate) struct SizeRun {
    pub(crate) size: usize,
    pub(crate) idle_duration: Duration,
}

impl SizeRun {
    pub(crate) async fn run(&self) -> Result<Value, RunError> {
        let memory = resident_bytes();
        let timer = Instant::now();
        let mut fleet = vec![FleetInstance::start(0, Vec::new()).await?];
        for number in 1..self.size {
            let seed = fleet[0].mesh.address();
            fleet.push(FleetInstance::start(number, vec![seed]).await?);
        }
        wait_for("joined", || fleet.iter().all(|instance| instance.sees(self.size))).await?;
        let joined = timer.elapsed();

        let updates_sent = wait_for_updates(&fleet).await?;
        let quiet = self.measure_idle(&fleet).await;
        let memory = resident_bytes().saturating_sub(memory);
        let terms = publish_terms(&fleet).await?;
        let revisions = publish_revisions(&fleet).await?;
        let newcomer = join_one(&mut fleet, self.size).await?;
        let one = stop_instances(&mut fleet, 1).await?;
        let domain = if self.size > DOMAINS {
            stop_instances(&mut fleet, self.size / DOMAINS).await?
        } else {
            Value::Null
        };
        for instance in fleet {
            instance.mesh.stop().await;
        }
        Ok(json!({
            "measure": "fleet",
            "instances": self.size,
            "all joined at once, seconds": seconds(joined),
            "news of joining told, seconds": seconds(updates_sent),
            "quiet, per instance": quiet,
            "resident kilobytes per instance": memory / 1024 / self.size as u64,
            "new term to reach all, seconds": terms,
            "new revision to reach all, seconds": revisions,
            "one newcomer known to all and knowing all, seconds": newcomer,
            "one instance lost": one,
            "a seventh of the instances lost": domain,
        }))
    }

    async fn measure_idle(&self, fleet: &[FleetInstance]) -> Value {
        let (before, used) = (traffic(fleet), processor_time());
        tokio::time::sleep(self.idle_duration).await;
        let (after, used) = (traffic(fleet), processor_time().saturating_sub(used));
        let sum = total(&before, &after);
        let share = self.size as f64 * self.idle_duration.as_secs_f64();
        json!({
            "bytes per second": (sum.bytes as f64 / share).round(),
            "busiest, bytes per second":
                busiest(&before, &after) as f64 / self.idle_duration.as_secs_f64(),
            "datagrams per second": (sum.datagrams as f64 / share * 100.0).round() / 100.0,
            "withheld": sum.withheld,
            "percent of a core": (used.as_secs_f64() / share * 100_000.0).round() / 1000.0,
        })
    }
}

/// Waits until the updates of all instances that joined at once have been sent.
async fn wait_for_updates(fleet: &[FleetInstance]) -> Result<Duration, RunError> {
    let timer = Instant::now();
    while timer.elapsed() < UPDATES_TIMEOUT {
        let before = traffic(fleet);
        tokio::time::sleep(UPDATES_WINDOW).await;
        let sent = total(&before, &traffic(fleet));
        if sent.bytes <= sent.datagrams * BARE_BYTES_MAX {
            return Ok(timer.elapsed());
        }
    }
    Err(RunError::Patience("updates of joining sent"))
}

async fn publish_terms(fleet: &[FleetInstance]) -> Result<Value, RunError> {
    let mut times = Vec::new();
    for term in 1..=HINTS {
        tokio::time::sleep(HINT_INTERVAL).await;
        let hint = PeerHint::Group(GroupHint {
            service: "scores-db-001".parse().expect("a name of allowed characters"),
            term: LogTerm(term),
            primary: "scores-db-001-b".parse().expect("a name of allowed characters"),
            stamp: LogStamp::new(term, 0),
            age: Some(Duration::ZERO),
        });
        let timer = Instant::now();
        fleet[0].mesh.publish(hint).await;
        let has_received =
            || fleet[1..].iter().all(|instance| instance.has_received_term(LogTerm(term)));
        wait_for("new term received", has_received).await?;
        times.push(timer.elapsed());
    }
    Ok(summary(times))
}

async fn publish_revisions(fleet: &[FleetInstance]) -> Result<Value, RunError> {
    let mut times = Vec::new();
    for number in 1..=HINTS {
        tokio::time::sleep(HINT_INTERVAL).await;
        let timer = Instant::now();
        fleet[0].mesh.publish(PeerHint::Revision(RevisionHint { number })).await;
        let has_received =
            || fleet[1..].iter().all(|instance| instance.has_received_revision(number));
        wait_for("new revision received", has_received).await?;
        times.push(timer.elapsed());
    }
    Ok(summary(times))
}

async fn join_one(fleet: &mut Vec<FleetInstance>, number: usize) -> Result<f64, RunError> {
    let timer = Instant::now();
    let seed = fleet[number / 2].mesh.address();
    fleet.push(FleetInstance::start(number, vec![seed]).await?);
    let size = fleet.len();
    wait_for("new instance joined", || fleet.iter().all(|instance| instance.sees(size))).await?;
    Ok(seconds(timer.elapsed()))
}

/// Stops some instances without notice, and waits until all others have removed them.
async fn stop_instances(fleet: &mut Vec<FleetInstance>, count: usize) -> Result<Value, RunError> {
    for lost in fleet.split_off(fleet.len() - count) {
        lost.mesh.stop().await;
    }
    let size = fleet.len();
    let timer = Instant::now();
    let start = traffic(fleet);
    let (mut before, mut peak) = (start.clone(), 0);
    while !fleet.iter().all(|instance| instance.sees(size)) {
        if timer.elapsed() > STATE_TIMEOUT {
            return Err(RunError::Patience("lost instances removed"));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let after = traffic(fleet);
        peak = peak.max(busiest(&before, &after));
        before = after;
    }
    let took = timer.elapsed();
    let sum = total(&start, &before);
    Ok(json!({
        "lost": count,
        "removed by all within, seconds": took.as_secs(),
        "busiest instance in its busiest second, bytes": peak,
        "bytes per second and instance": (sum.bytes as f64 / size as f64 / took.as_secs_f64()).round(),
        "table bytes per instance": sum.table_bytes / size as u64,
        "datagrams withheld per instance": (sum.withheld as f64 / size as f64).round(),
    }))
}

async fn wait_for(state: &'static str, condition: impl Fn() -> bool) -> Result<(), RunError> {
    let wait = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(STATE_TIMEOUT, wait).await.map_err(|_| RunError::Patience(state))
}

fn summary(mut times: Vec<Duration>) -> Value {
    times.sort_unstable();
    json!({
        "median": seconds(times[times.len() / 2]),
        "greatest": seconds(times[times.len() - 1]),
    })
}

fn seconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 1000.0).round() / 1000.0
}
