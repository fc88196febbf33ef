//! One caller: its connection, its own row, and what it may expect to read.

use rudder_standins::Deployment;
use std::error::Error;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// A request without an answer after this long counts as failed.
const REQUEST_BOUND: Duration = Duration::from_secs(10);

/// Pause before a caller whose connection ended connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// Answered.
    Done,
    /// Refused, and not run.
    Refused,
    /// Nobody can tell.
    Unknown,
    /// Failed in another way.
    Failed,
}

/// One request's record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestSample {
    /// Index of the stream.
    pub(crate) stream: usize,
    /// Index of the group.
    pub(crate) group: usize,
    /// Whether it was a write.
    pub(crate) write: bool,
    /// When its answer came, from the start of the run.
    pub(crate) ended: Duration,
    /// From its arrival to its answer.
    pub(crate) latency: Duration,
    /// How it ended.
    pub(crate) end: RequestEnd,
    /// Whether the answer broke a promise.
    pub(crate) broken: bool,
}

/// A caller with a row of its own, which it alone changes.
pub(crate) struct LoadCaller {
    /// Its row.
    pub(crate) row: usize,
    /// Index of its stream.
    pub(crate) stream: usize,
    /// Index of its group.
    pub(crate) group: usize,
    words: String,
    client: Option<Client>,
    reads_left: u32,
    /// Writes that were acknowledged.
    pub(crate) acknowledged: u64,
    /// Writes that may have taken effect.
    pub(crate) unknown: u64,
}

impl LoadCaller {
    /// A caller that connects to one proxy.
    pub(crate) fn new(
        deployment: &Deployment,
        row: usize,
        stream: usize,
        user: &str,
        proxy: usize,
        group: usize,
    ) -> Self {
        let address = deployment.proxy(proxy).listen_address();
        let words = format!(
            "host={} port={} user={user} dbname={} sslmode=disable",
            address.ip(),
            address.port(),
            deployment.groups[group].service()
        );
        Self { row, stream, group, words, client: None, reads_left: 0, acknowledged: 0, unknown: 0 }
    }

    /// Connects, if it is not connected.
    pub(crate) async fn connect(&mut self) -> Result<(), Box<dyn Error + Send + Sync>> {
        if self.client.as_ref().is_none_or(Client::is_closed) {
            let (client, connection) = tokio_postgres::connect(&self.words, NoTls).await?;
            tokio::spawn(connection);
            self.client = Some(client);
        }
        Ok(())
    }

    /// Runs the next request of the stream's pattern.
    pub(crate) async fn run(
        &mut self,
        reads_per_write: u32,
        arrived: Instant,
        started: Instant,
    ) -> RequestSample {
        let write = self.takes_write(reads_per_write);
        let outcome = timeout(REQUEST_BOUND, self.request(write)).await;
        let (end, broken) = outcome.unwrap_or((RequestEnd::Failed, false));
        if write {
            match end {
                RequestEnd::Done => self.acknowledged += 1,
                RequestEnd::Refused => {}
                RequestEnd::Unknown | RequestEnd::Failed => self.unknown += 1,
            }
        }
        RequestSample {
            stream: self.stream,
            group: self.group,
            write,
            ended: started.elapsed(),
            latency: arrived.elapsed(),
            end,
            broken,
        }
    }

    fn takes_write(&mut self, reads_per_write: u32) -> bool {
        match reads_per_write {
            0 => false,
            1 => true,
            _ if self.reads_left == 0 => {
                self.reads_left = reads_per_write;
                true
            }
            _ => {
                self.reads_left -= 1;
                false
            }
        }
    }

    async fn request(&mut self, write: bool) -> (RequestEnd, bool) {
        if self.connect().await.is_err() {
            sleep(RECONNECT_PAUSE).await;
            return (RequestEnd::Refused, false);
        }
        let text = if write {
            format!("UPDATE counters SET v = v + 1 WHERE id = {}", self.row)
        } else {
            format!("SELECT v FROM counters WHERE id = {}", self.row)
        };
        let client = self.client.as_ref().expect("connected above");
        match client.simple_query(&text).await {
            Ok(messages) => (RequestEnd::Done, !write && self.is_broken(&messages)),
            Err(error) => (end_of(&error), false),
        }
    }

    /// Guards the promise that a session sees its own writes: the row holds as many as were
    /// acknowledged, and no more than were sent.
    fn is_broken(&self, messages: &[SimpleQueryMessage]) -> bool {
        let value = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0)?.parse::<u64>().ok(),
            _ => None,
        });
        !value.is_some_and(|value| self.allows(value))
    }

    /// Whether the row may hold `value`.
    pub(crate) fn allows(&self, value: u64) -> bool {
        (self.acknowledged..=self.acknowledged + self.unknown).contains(&value)
    }
}

fn end_of(error: &tokio_postgres::Error) -> RequestEnd {
    let Some(error) = error.as_db_error() else { return RequestEnd::Failed };
    match error.detail() {
        Some("outcome: not_run") => RequestEnd::Refused,
        Some("outcome: unknown") => RequestEnd::Unknown,
        _ if error.code().code() == "57P01" => RequestEnd::Refused,
        _ => RequestEnd::Failed,
    }
}
