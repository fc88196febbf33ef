//! Load generator: many connections that send statements for a fixed time.

use crate::TABLE_ROWS;
use crate::client::{BenchClient, BenchTarget};
use crate::processor::processor_time;
use crate::report::{Measurement, latency_histogram};
use bytes::BytesMut;
use hdrhistogram::Histogram;
use std::error::Error;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The first 1/5 of a run is not measured: caches, pools and limits settle in it.
const WARM_UP_DIVISOR: u32 = 5;

/// Kind of statement that a run sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementKind {
    /// A point read by the simple query protocol.
    Read,
    /// A point read by a prepared statement with the extended query protocol.
    Prepared,
    /// An update of one row by the simple query protocol.
    Write,
}

impl FromStr for StatementKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "read" => Ok(Self::Read),
            "prepared" => Ok(Self::Prepared),
            "write" => Ok(Self::Write),
            _ => Err(format!("{text} is not one of read, prepared, write")),
        }
    }
}

impl StatementKind {
    /// Returns the message that reads or updates the row with this id.
    fn request(self, id: usize) -> BytesMut {
        match self {
            Self::Read => {
                BenchClient::query_message(&format!("SELECT note FROM bench WHERE id = {id}"))
            }
            Self::Prepared => BenchClient::execute_messages(&id.to_string()),
            Self::Write => BenchClient::query_message(&format!(
                "UPDATE bench SET note = 'new' WHERE id = {id}"
            )),
        }
    }
}

/// Statement that [`StatementKind::Prepared`] runs.
const PREPARED_READ: &str = "SELECT note FROM bench WHERE id = $1::int4";

/// A load run against one target.
#[derive(Debug)]
pub(crate) struct LoadRun<'a> {
    pub(crate) target: &'a BenchTarget,
    pub(crate) connections: usize,
    pub(crate) time: Duration,
    pub(crate) statement: StatementKind,
    /// Target rate of all connections together, in statements per second; unlimited if absent.
    pub(crate) rate: Option<u32>,
    /// Process ids of the proxy and of the database group, for their processor time.
    pub(crate) pids: (Option<u32>, Option<u32>),
}

impl LoadRun<'_> {
    /// Runs the load and adds its figures to `measurement`.
    pub(crate) async fn run(&self, measurement: &mut Measurement) -> Result<(), Box<dyn Error>> {
        let requests: Arc<[BytesMut]> =
            (0..TABLE_ROWS).map(|id| self.statement.request(id)).collect();
        let mut clients = Vec::with_capacity(self.connections);
        for _ in 0..self.connections {
            let mut client = BenchClient::connect(self.target).await?;
            if self.statement == StatementKind::Prepared {
                client.prepare(PREPARED_READ).await?;
            }
            clients.push(client);
        }
        let start = Instant::now() + self.time / WARM_UP_DIVISOR;
        let end = Instant::now() + self.time;
        let mut tasks = Vec::with_capacity(self.connections);
        for (index, client) in clients.into_iter().enumerate() {
            let schedule =
                RequestSchedule { first_request: index, interval: self.interval(), start, end };
            tasks.push(tokio::spawn(send_until(client, Arc::clone(&requests), schedule)));
        }
        tokio::time::sleep_until(start.into()).await;
        let before = self.processor_times()?;
        tokio::time::sleep_until(end.into()).await;
        let after = self.processor_times()?;
        for task in tasks {
            measurement.latency.add(task.await??)?;
        }
        measurement.time += end - start;
        measurement.proxy_processor += after[0].saturating_sub(before[0]);
        measurement.group_processor += after[1].saturating_sub(before[1]);
        measurement.client_processor += after[2].saturating_sub(before[2]);
        Ok(())
    }

    /// Returns the time between two statements of one connection, if the rate is limited.
    fn interval(&self) -> Option<Duration> {
        let rate = self.rate.filter(|rate| *rate > 0)?;
        Some(Duration::from_secs_f64(self.connections as f64 / f64::from(rate)))
    }

    fn processor_times(&self) -> std::io::Result<[Duration; 3]> {
        let time_of = |pid: Option<u32>| match pid {
            Some(pid) => processor_time(&pid.to_string()),
            None => Ok(Duration::ZERO),
        };
        Ok([time_of(self.pids.0)?, time_of(self.pids.1)?, processor_time("self")?])
    }
}

/// Times and requests of one connection.
#[derive(Clone, Copy, Debug)]
struct RequestSchedule {
    /// Index of the connection's first request.
    first_request: usize,
    /// Time between two requests; without it, each request follows the previous response.
    interval: Option<Duration>,
    /// End of the warm-up: latencies of earlier requests are not recorded.
    start: Instant,
    end: Instant,
}

/// Sends requests one at a time until the end of the schedule and returns their latencies.
async fn send_until(
    mut client: BenchClient,
    requests: Arc<[BytesMut]>,
    schedule: RequestSchedule,
) -> std::io::Result<Histogram<u64>> {
    let RequestSchedule { first_request, interval, start, end } = schedule;
    let mut latency = latency_histogram();
    let mut index = first_request;
    // Connections start at different offsets in the interval, so that they do not send in bursts.
    let offset = first_request as f64 / requests.len() as f64;
    let mut next = Instant::now() + interval.unwrap_or_default().mul_f64(offset.fract());
    loop {
        if let Some(interval) = interval {
            tokio::time::sleep_until(next.into()).await;
            next += interval;
        }
        let sent = Instant::now();
        if sent >= end {
            return Ok(latency);
        }
        client.exchange(&requests[index % requests.len()]).await?;
        index += 1;
        if sent >= start {
            let nanos = u64::try_from(sent.elapsed().as_nanos()).unwrap_or(u64::MAX);
            latency.saturating_record(nanos);
        }
    }
}
