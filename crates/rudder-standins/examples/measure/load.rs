//! Open-loop replay of a trace's streams: requests arrive at their scheduled times, whether or not
//! earlier requests have completed.

use crate::caller::{LoadCaller, RequestSample};
use crate::trace::LoadTrace;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_core::{LogTerm, MemberRole};
use rudder_standins::Deployment;
use std::error::Error;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio_postgres::{NoTls, SimpleQueryMessage};

/// Samples of a run, with the final state of its callers.
pub(crate) struct RunSamples {
    /// Samples of all requests.
    pub(crate) requests: Vec<RequestSample>,
    /// All callers, with the counts of their writes.
    pub(crate) callers: Vec<LoadCaller>,
}

/// Creates the rows and connects the callers, which are distributed evenly over proxies and groups.
pub(crate) async fn connect_callers(
    deployment: &Deployment,
    trace: &LoadTrace,
) -> Result<Vec<LoadCaller>, Box<dyn Error>> {
    let mut callers = Vec::new();
    for (stream_index, stream) in trace.streams.iter().enumerate() {
        let user = format!("{}-{stream_index}", stream.kind);
        for _ in 0..stream.callers {
            let row = callers.len();
            let group = row % deployment.groups.len();
            let proxy = row / deployment.groups.len() % deployment.proxies.len();
            callers.push(LoadCaller::new(deployment, row, stream_index, &user, proxy, group));
        }
    }
    create_rows(deployment, callers.len()).await?;
    for caller in &mut callers {
        caller.connect().await.map_err(|error| error.to_string())?;
    }
    Ok(callers)
}

/// Inserts every row directly at the primaries, and gives the replicas 300 ms to apply them.
async fn create_rows(deployment: &Deployment, rows: usize) -> Result<(), Box<dyn Error>> {
    for group in &deployment.groups {
        let (_, address) = group.members().next().ok_or("a group has no member")?;
        let connection_string =
            format!("host={} port={} user=app dbname=db", address.ip(), address.port());
        let (client, connection) = tokio_postgres::connect(&connection_string, NoTls).await?;
        tokio::spawn(connection);
        client.batch_execute("CREATE TABLE counters (id int PRIMARY KEY, v int)").await?;
        let values: Vec<String> = (0..rows).map(|row| format!("({row}, 0)")).collect();
        let text = format!("INSERT INTO counters VALUES {}", values.join(", "));
        client.batch_execute(&text).await?;
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    Ok(())
}

/// Replays the trace and returns its samples.
pub(crate) async fn run(
    callers: Vec<LoadCaller>,
    trace: &LoadTrace,
    seed: u64,
    started: Instant,
) -> Result<RunSamples, Box<dyn Error>> {
    let (sample_sender, mut sample_receiver) = mpsc::unbounded_channel();
    let mut tasks = JoinSet::new();
    let mut arrival_senders: Vec<Vec<mpsc::UnboundedSender<Instant>>> =
        vec![Vec::new(); trace.streams.len()];
    for caller in callers {
        let (sender, receiver) = mpsc::unbounded_channel();
        let reads_per_write = trace.streams[caller.stream].reads_per_write;
        arrival_senders[caller.stream].push(sender);
        tasks.spawn(run_caller(caller, reads_per_write, receiver, sample_sender.clone(), started));
    }
    drop(sample_sender);
    let mut arrivals = JoinSet::new();
    for (index, senders) in arrival_senders.into_iter().enumerate() {
        let stream = trace.streams[index].clone();
        let end = if stream.until > 0.0 { stream.until } else { trace.seconds };
        let rng = StdRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64));
        arrivals.spawn(send_arrivals(senders, stream.rate, stream.from, end, rng, started));
    }
    let collect = async {
        let mut requests = Vec::new();
        while let Some(sample) = sample_receiver.recv().await {
            requests.push(sample);
        }
        requests
    };
    let (requests, callers, _) = tokio::join!(collect, tasks.join_all(), arrivals.join_all());
    Ok(RunSamples { requests, callers })
}

/// Sends the arrival times of one stream, which form a Poisson process, to random callers.
async fn send_arrivals(
    senders: Vec<mpsc::UnboundedSender<Instant>>,
    rate: f64,
    from: f64,
    until: f64,
    mut rng: StdRng,
    started: Instant,
) {
    let mut at = from;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= until {
            return;
        }
        let due = started + Duration::from_secs_f64(at);
        tokio::time::sleep_until(due.into()).await;
        let caller = rng.random_range(0..senders.len());
        // A caller whose task has ended no longer receives arrivals.
        let _ = senders[caller].send(due);
    }
}

/// Runs a caller's requests one at a time; a request's latency includes its wait for earlier ones.
async fn run_caller(
    mut caller: LoadCaller,
    reads_per_write: u32,
    mut arrivals: mpsc::UnboundedReceiver<Instant>,
    sample_sender: mpsc::UnboundedSender<RequestSample>,
    started: Instant,
) -> LoadCaller {
    while let Some(arrived) = arrivals.recv().await {
        let sample = caller.run(reads_per_write, arrived, started).await;
        let _ = sample_sender.send(sample);
    }
    caller
}

/// State of the groups after a run.
#[derive(Default)]
pub(crate) struct FinalState {
    /// Rows at the current primaries, by group.
    pub(crate) rows: Vec<Vec<(usize, u64)>>,
    /// Number of groups whose primary was replaced.
    pub(crate) promotions: u64,
}

/// Reads the final state directly from the current primaries.
pub(crate) async fn read_final_state(
    deployment: &Deployment,
    trace: &LoadTrace,
) -> Result<FinalState, Box<dyn Error>> {
    let mut state = FinalState::default();
    for group in &deployment.groups {
        let statuses = group.members().filter_map(|(name, address)| {
            let status = group.status(name).ok()?;
            (status.role == MemberRole::Primary).then_some((status.accepted, address))
        });
        // An isolated primary still reports itself primary; the current one has the highest term.
        let (term, address) = statuses.max().ok_or(format!("{}: no primary", trace.name))?;
        state.promotions += u64::from(term > LogTerm(1));
        let connection_string =
            format!("host={} port={} user=app dbname=db", address.ip(), address.port());
        let (client, connection) = tokio_postgres::connect(&connection_string, NoTls).await?;
        tokio::spawn(connection);
        let messages = client.simple_query("SELECT id, v FROM counters").await?;
        let row = |message: &SimpleQueryMessage| match message {
            SimpleQueryMessage::Row(row) => {
                Some((row.get(0)?.parse().ok()?, row.get(1)?.parse().ok()?))
            }
            _ => None,
        };
        state.rows.push(messages.iter().filter_map(row).collect());
    }
    Ok(state)
}
