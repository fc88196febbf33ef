//! Load of many connections for a while.

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

/// Part of the time in which caches, pools and limits settle; not measured.
const WARM_UP_SHARE: u32 = 5;

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatementKind {
    /// A point read by the simple protocol.
    Read,
    /// A point read by a prepared statement.
    Prepared,
    /// A change of one row by the simple protocol.
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
    /// The message that asks for the row with this id.
    fn request(self, id: usize) -> BytesMut {
        match self {
            Self::Read => BenchClient::request(&format!("SELECT note FROM bench WHERE id = {id}")),
            Self::Prepared => BenchClient::execution(&id.to_string()),
            Self::Write => {
                BenchClient::request(&format!("UPDATE bench SET note = 'new' WHERE id = {id}"))
            }
        }
    }
}

/// The statement that prepared reads execute.
const PREPARED_READ: &str = "SELECT note FROM bench WHERE id = $1::int4";

/// One run over one path.
#[derive(Debug)]
pub(crate) struct LoadRun<'a> {
    pub(crate) target: &'a BenchTarget,
    pub(crate) connections: usize,
    pub(crate) time: Duration,
    pub(crate) statement: StatementKind,
    /// Statements a second of all connections together, if they are paced.
    pub(crate) rate: Option<u32>,
    /// The proxy's and the group's processes.
    pub(crate) pids: (Option<u32>, Option<u32>),
}

impl LoadRun<'_> {
    /// Runs and adds to `measurement`.
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
        let start = Instant::now() + self.time / WARM_UP_SHARE;
        let end = Instant::now() + self.time;
        let mut tasks = Vec::with_capacity(self.connections);
        for (index, client) in clients.into_iter().enumerate() {
            let schedule = AskSchedule { first: index, pause: self.pause(), start, end };
            tasks.push(tokio::spawn(ask_until(client, Arc::clone(&requests), schedule)));
        }
        tokio::time::sleep_until(start.into()).await;
        let before = self.processor_times()?;
        tokio::time::sleep_until(end.into()).await;
        let after = self.processor_times()?;
        for task in tasks {
            measurement.latency.add(task.await??)?;
        }
        measurement.time += end - start;
        measurement.processor_proxy += after[0].saturating_sub(before[0]);
        measurement.processor_group += after[1].saturating_sub(before[1]);
        measurement.processor_client += after[2].saturating_sub(before[2]);
        Ok(())
    }

    /// The time between two statements of a connection, if they are paced.
    fn pause(&self) -> Option<Duration> {
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

/// When one connection asks what.
#[derive(Clone, Copy, Debug)]
struct AskSchedule {
    /// Index of its first request.
    first: usize,
    pause: Option<Duration>,
    /// Earlier requests are not recorded.
    start: Instant,
    end: Instant,
}

/// Asks one request after the other and records the latencies.
async fn ask_until(
    mut client: BenchClient,
    requests: Arc<[BytesMut]>,
    schedule: AskSchedule,
) -> std::io::Result<Histogram<u64>> {
    let AskSchedule { first, pause, start, end } = schedule;
    let mut latency = latency_histogram();
    let mut index = first;
    // Connections begin at different parts of the pause, so that they do not ask all at once.
    let part = first as f64 / requests.len() as f64;
    let mut next = Instant::now() + pause.unwrap_or_default().mul_f64(part.fract());
    loop {
        if let Some(pause) = pause {
            tokio::time::sleep_until(next.into()).await;
            next += pause;
        }
        let sent = Instant::now();
        if sent >= end {
            return Ok(latency);
        }
        client.ask(&requests[index % requests.len()]).await?;
        index += 1;
        if sent >= start {
            let nanos = u64::try_from(sent.elapsed().as_nanos()).unwrap_or(u64::MAX);
            latency.saturating_record(nanos);
        }
    }
}
