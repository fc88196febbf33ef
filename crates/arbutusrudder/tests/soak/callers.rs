//! Callers that run random operations in sessions and record the replies.

use super::checks::{ReadRecord, SoakHistory, WriteOutcome};
use super::environment::{BOUNDED, OWN, STRICT, SoakEnvironment, lock};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_standins::{LineClient, LineReply};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Timeout for a reply. After it, the caller reconnects and the outcome is unknown.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause in milliseconds between two operations, and between the statements of a transaction.
const OPERATION_PAUSE_MS: std::ops::Range<u64> = 1..25;

/// Maximum number of operations in a session.
const SESSION_OPERATIONS_MAX: u32 = 60;

/// Returns the staleness limit of the reads of a database.
fn staleness_limit_of(database: &str) -> Duration {
    match database {
        BOUNDED => Duration::from_millis(1500),
        OWN => Duration::from_millis(2500),
        _ => Duration::ZERO,
    }
}

/// Running callers.
pub(crate) struct SoakCallers {
    history: Arc<Mutex<SoakHistory>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl SoakCallers {
    /// Lets all running operations finish and returns the recorded history.
    pub(crate) async fn stop(self) -> SoakHistory {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a caller does not panic");
        }
        std::mem::take(&mut *lock(&self.history))
    }
}

/// Starts `count` callers, each with its own item that no other caller writes.
pub(crate) fn start(environment: &SoakEnvironment, count: usize, seed: u64) -> SoakCallers {
    let history = Arc::new(Mutex::new(SoakHistory::new(count)));
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = (0..count).map(|number| {
        let caller = SoakCaller {
            number,
            addresses: environment.addresses(),
            history: Arc::clone(&history),
            rng: StdRng::seed_from_u64(seed * 1000 + number as u64),
            next: 0,
        };
        let stop = Arc::clone(&stop);
        tokio::spawn(async move { caller.run(&stop).await })
    });
    let tasks = tasks.collect();
    SoakCallers { history, stop, tasks }
}

struct SoakCaller {
    number: usize,
    addresses: Vec<SocketAddr>,
    history: Arc<Mutex<SoakHistory>>,
    rng: StdRng,
    next: u64,
}

/// An open session.
struct CallerSession {
    client: LineClient,
    database: &'static str,
    /// Last value of the caller that was acknowledged in this session.
    written: u64,
}

/// Result of a statement as the caller observes it.
enum StatementResult {
    Reply(LineReply),
    NoReply,
}

impl StatementResult {
    /// Returns the outcome of a write with this result.
    fn outcome(&self) -> WriteOutcome {
        match self {
            Self::NoReply => WriteOutcome::Unknown,
            Self::Reply(reply) if reply.is_done() => WriteOutcome::Acknowledged,
            Self::Reply(reply) => match reply.code() {
                "BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MISROUTED" | "CONNLIMIT" => {
                    WriteOutcome::Refused
                }
                _ => WriteOutcome::Unknown,
            },
        }
    }
}

impl SoakCaller {
    async fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            if let Some(mut session) = self.connect().await {
                for _ in 0..SESSION_OPERATIONS_MAX {
                    let usable =
                        !stop.load(Ordering::Relaxed) && self.run_operation(&mut session).await;
                    if !usable {
                        break;
                    }
                    self.pause().await;
                }
            }
            self.pause().await;
        }
    }

    async fn pause(&mut self) {
        let pause = Duration::from_millis(self.rng.random_range(OPERATION_PAUSE_MS));
        tokio::time::sleep(pause).await;
    }

    async fn connect(&mut self) -> Option<CallerSession> {
        let address = self.addresses[self.rng.random_range(0..self.addresses.len())];
        let database = [STRICT, BOUNDED, OWN][self.rng.random_range(0..3)];
        let hello = format!("{database} caller{}", self.number);
        let connect = LineClient::connect(address, &hello);
        let connected = tokio::time::timeout(REPLY_TIMEOUT, connect).await;
        let Ok(Ok((client, line))) = connected else { return None };
        if !line.starts_with("READY") {
            return None;
        }
        let mut session = CallerSession { client, database, written: 0 };
        let set = format!("SET who caller{}", self.number);
        match self.run_statement(&mut session, &set).await {
            (_, StatementResult::Reply(reply)) if reply.is_done() => Some(session),
            _ => None,
        }
    }

    fn next_id(&mut self) -> (u64, String) {
        self.next += 1;
        (self.next, format!("c{}n{}", self.number, self.next))
    }

    async fn run_statement(
        &mut self,
        session: &mut CallerSession,
        text: &str,
    ) -> (String, StatementResult) {
        let (_, id) = self.next_id();
        let result = run_statement(session, &id, text).await;
        (id, result)
    }

    /// Runs one random operation; returns whether the session can continue.
    async fn run_operation(&mut self, session: &mut CallerSession) -> bool {
        match self.rng.random_range(0..10) {
            0..3 => self.write(session).await,
            3..5 => self.write_pair(session).await,
            _ => self.read(session).await,
        }
    }

    async fn write(&mut self, session: &mut CallerSession) -> bool {
        let (value, id) = self.next_id();
        let item = format!("item{}", self.number);
        let result = run_statement(session, &id, &format!("WRITE {item} {value}")).await;
        let outcome = result.outcome();
        lock(&self.history).record_write(self.number, &id, value, outcome);
        if outcome == WriteOutcome::Acknowledged {
            session.written = value;
        }
        is_idle(&result)
    }

    /// Runs a transaction of two writes, which must commit or roll back together.
    async fn write_pair(&mut self, session: &mut CallerSession) -> bool {
        if !is_open(&self.run_statement(session, "BEGIN").await.1) {
            return false;
        }
        let mut writes = Vec::new();
        for half in ["a", "b"] {
            let (value, id) = self.next_id();
            let item = format!("pair{}{half}", self.number);
            let result = run_statement(session, &id, &format!("WRITE {item} {value}")).await;
            writes.push(id);
            if !is_open(&result) {
                // Nothing was committed, whether or not the statement was executed.
                lock(&self.history).record_pair(&writes, WriteOutcome::Refused);
                return false;
            }
            self.pause().await;
        }
        let rolls_back = self.rng.random_range(0..5) == 0;
        let text = if rolls_back { "ROLLBACK" } else { "COMMIT" };
        let (_, result) = self.run_statement(session, text).await;
        let outcome = if rolls_back { WriteOutcome::Refused } else { result.outcome() };
        lock(&self.history).record_pair(&writes, outcome);
        is_idle(&result)
    }

    async fn read(&mut self, session: &mut CallerSession) -> bool {
        let count = lock(&self.history).caller_count();
        let other = self.rng.random_range(0..count);
        let staleness_limit = staleness_limit_of(session.database);
        let own = if other == self.number && session.database == OWN { session.written } else { 0 };
        let required = lock(&self.history).required_writes(other, Instant::now(), staleness_limit);
        let (id, result) = self.run_statement(session, &format!("READ item{other}")).await;
        if let StatementResult::Reply(reply) = &result
            && reply.is_done()
        {
            let row = reply.rows.first().cloned().unwrap_or_default();
            let record = ReadRecord {
                id,
                reader: self.number,
                database: session.database,
                item: other,
                required,
                own,
                row,
                outcome: reply.outcome.clone(),
            };
            lock(&self.history).record_read(record);
        }
        is_idle(&result)
    }
}

async fn run_statement(session: &mut CallerSession, id: &str, text: &str) -> StatementResult {
    let query = session.client.query(id, text);
    match tokio::time::timeout(REPLY_TIMEOUT, query).await {
        Ok(Ok(reply)) => StatementResult::Reply(reply),
        Ok(Err(_)) | Err(_) => StatementResult::NoReply,
    }
}

fn is_idle(result: &StatementResult) -> bool {
    matches!(result, StatementResult::Reply(reply) if reply.state() == "I")
}

fn is_open(result: &StatementResult) -> bool {
    matches!(result, StatementResult::Reply(reply) if reply.is_done() && reply.state() == "T")
}
