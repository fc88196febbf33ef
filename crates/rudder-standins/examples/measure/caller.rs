//! A caller: its connection, its own row, and a check that its reads see its own writes.

use rudder_standins::Deployment;
use std::error::Error;
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// A request without a response after this time counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOutcome {
    /// Completed successfully.
    Done,
    /// Rejected before it ran.
    Refused,
    /// May or may not have run: the proxy reported an unknown outcome.
    Unknown,
    /// Failed in another way, or timed out.
    Failed,
}

/// Measurement of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestSample {
    /// Index of the stream.
    pub(crate) stream: usize,
    /// Index of the group.
    pub(crate) group: usize,
    /// Whether it was a write.
    pub(crate) write: bool,
    /// Time of the response, from the start of the run.
    pub(crate) ended: Duration,
    /// Time from the request's arrival to its response.
    pub(crate) latency: Duration,
    /// Outcome of the request.
    pub(crate) outcome: RequestOutcome,
    /// Whether the response violated read-your-writes.
    pub(crate) violation: bool,
}

/// A caller with its own row, which no other caller changes.
pub(crate) struct LoadCaller {
    /// Id of the caller's row.
    pub(crate) row: usize,
    /// Index of the caller's stream.
    pub(crate) stream: usize,
    /// Index of the caller's group.
    pub(crate) group: usize,
    connection_string: String,
    client: Option<Client>,
    reads_before_write: u32,
    /// Number of acknowledged writes.
    pub(crate) acknowledged: u64,
    /// Number of writes that may have taken effect without an acknowledgement.
    pub(crate) unknown: u64,
}

impl LoadCaller {
    /// Returns a caller of one proxy that is not connected yet.
    pub(crate) fn new(
        deployment: &Deployment,
        row: usize,
        stream: usize,
        user: &str,
        proxy: usize,
        group: usize,
    ) -> Self {
        let address = deployment.proxy(proxy).listen_address();
        let connection_string = format!(
            "host={} port={} user={user} dbname={} sslmode=disable",
            address.ip(),
            address.port(),
            deployment.groups[group].service()
        );
        Self {
            row,
            stream,
            group,
            connection_string,
            client: None,
            reads_before_write: 0,
            acknowledged: 0,
            unknown: 0,
        }
    }

    /// Connects, if the caller is not connected.
    pub(crate) async fn connect(&mut self) -> Result<(), Box<dyn Error + Send + Sync>> {
        if self.client.as_ref().is_none_or(Client::is_closed) {
            let (client, connection) =
                tokio_postgres::connect(&self.connection_string, NoTls).await?;
            tokio::spawn(connection);
            self.client = Some(client);
        }
        Ok(())
    }

    /// Runs the next read or write: one write, then `reads_per_write` reads.
    pub(crate) async fn run(
        &mut self,
        reads_per_write: u32,
        arrived: Instant,
        started: Instant,
    ) -> RequestSample {
        let write = self.next_is_write(reads_per_write);
        let result = timeout(REQUEST_TIMEOUT, self.request(write)).await;
        let (outcome, violation) = result.unwrap_or((RequestOutcome::Failed, false));
        if write {
            match outcome {
                RequestOutcome::Done => self.acknowledged += 1,
                RequestOutcome::Refused => {}
                RequestOutcome::Unknown | RequestOutcome::Failed => self.unknown += 1,
            }
        }
        RequestSample {
            stream: self.stream,
            group: self.group,
            write,
            ended: started.elapsed(),
            latency: arrived.elapsed(),
            outcome,
            violation,
        }
    }

    fn next_is_write(&mut self, reads_per_write: u32) -> bool {
        match reads_per_write {
            0 => false,
            1 => true,
            _ if self.reads_before_write == 0 => {
                self.reads_before_write = reads_per_write;
                true
            }
            _ => {
                self.reads_before_write -= 1;
                false
            }
        }
    }

    async fn request(&mut self, write: bool) -> (RequestOutcome, bool) {
        if self.connect().await.is_err() {
            sleep(RECONNECT_DELAY).await;
            return (RequestOutcome::Refused, false);
        }
        let text = if write {
            format!("UPDATE counters SET v = v + 1 WHERE id = {}", self.row)
        } else {
            format!("SELECT v FROM counters WHERE id = {}", self.row)
        };
        let client = self.client.as_ref().expect("connected above");
        match client.simple_query(&text).await {
            Ok(messages) => (RequestOutcome::Done, !write && self.violates_own_writes(&messages)),
            Err(error) => (outcome_of(&error), false),
        }
    }

    /// Returns whether a read violates read-your-writes: its value must be at least the number of
    /// acknowledged writes and at most the number of writes sent.
    fn violates_own_writes(&self, messages: &[SimpleQueryMessage]) -> bool {
        let value = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0)?.parse::<u64>().ok(),
            _ => None,
        });
        !value.is_some_and(|value| self.allows(value))
    }

    /// Returns whether `value` is consistent with the caller's writes.
    pub(crate) fn allows(&self, value: u64) -> bool {
        (self.acknowledged..=self.acknowledged + self.unknown).contains(&value)
    }
}

fn outcome_of(error: &tokio_postgres::Error) -> RequestOutcome {
    let Some(error) = error.as_db_error() else { return RequestOutcome::Failed };
    match error.detail() {
        Some("outcome: not_run") => RequestOutcome::Refused,
        Some("outcome: unknown") => RequestOutcome::Unknown,
        _ if error.code().code() == "57P01" => RequestOutcome::Refused,
        _ => RequestOutcome::Failed,
    }
}
