//! A caller that writes, reads, retries requests with an idempotency key, and switches proxies.

use super::schedule::TrialSchedule;
use crate::deployment::Deployment;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_core::{
    OutcomeClass, ReadRecord, RequestKey, SessionId, StoredValue, WriteOutcome, WriteRecord,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::time::timeout;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Number of rows that the callers share.
const ROW_COUNT: u64 = 6;

/// Timeout after which a caller gives up on a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause between two requests of one caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(8);

/// Maximum number of attempts of a request with a key, the first included.
const KEY_ATTEMPTS_MAX: u32 = 6;

/// State shared by all callers of a run.
pub(super) struct TrialShared {
    service: String,
    proxies: Mutex<Vec<Option<SocketAddr>>>,
    started: Instant,
    stopped: AtomicBool,
    next_value: AtomicU64,
}

impl TrialShared {
    pub(super) fn new(deployment: &Deployment, _schedule: &TrialSchedule) -> Self {
        let address = |proxy: &Option<arbutusrudder::ProxyInstance>| {
            proxy.as_ref().map(arbutusrudder::ProxyInstance::listen_address)
        };
        Self {
            service: deployment.groups[0].service().to_string(),
            proxies: Mutex::new(deployment.proxies.iter().map(address).collect()),
            started: Instant::now(),
            stopped: AtomicBool::new(false),
            next_value: AtomicU64::new(1),
        }
    }

    /// Sets the address of a replaced proxy; `None` if it is stopped.
    pub(super) fn replace_proxy(&self, index: usize, address: Option<SocketAddr>) {
        self.proxies.lock().expect("no holder of this lock panics")[index] = address;
    }

    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn proxy(&self, rng: &mut StdRng) -> Option<SocketAddr> {
        let proxies = self.proxies.lock().expect("no holder of this lock panics");
        proxies[rng.random_range(0..proxies.len())]
    }
}

/// Requests and outcomes of one caller.
#[derive(Default)]
pub(super) struct CallerRecord {
    pub(super) writes: Vec<WriteRecord>,
    pub(super) reads: Vec<ReadRecord>,
    pub(super) unanswered: usize,
}

/// A caller and its session.
pub(super) struct TrialCaller {
    shared: Arc<TrialShared>,
    rng: StdRng,
    session: SessionId,
    /// Whether the caller sends the session's token when it connects, rather than only its id.
    sends_token: bool,
    /// Whether its reads accept no staleness.
    strict: bool,
    token: Option<String>,
    client: Option<Client>,
    /// Whether the last response said that a request with the key had already run.
    already_run: bool,
    record: CallerRecord,
}

impl TrialCaller {
    pub(super) fn new(shared: Arc<TrialShared>, index: usize, seed: u64) -> Self {
        Self {
            shared,
            rng: StdRng::seed_from_u64(seed.wrapping_mul(1000).wrapping_add(index as u64)),
            session: format!("s{index}").parse().expect("the id has only allowed characters"),
            sends_token: index.is_multiple_of(2),
            strict: index.is_multiple_of(3),
            token: None,
            client: None,
            already_run: false,
            record: CallerRecord::default(),
        }
    }

    /// Sends requests until the run is stopped.
    pub(super) async fn run(mut self) -> CallerRecord {
        while !self.shared.stopped.load(Ordering::Relaxed) {
            if self.rng.random_ratio(1, 12) {
                self.client = None;
            }
            if !self.connect().await {
                tokio::time::sleep(REQUEST_PAUSE).await;
                continue;
            }
            match self.rng.random_range(0..10) {
                0..=2 => self.write().await,
                3 => self.write_with_key().await,
                _ => self.read().await,
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
        self.record
    }

    async fn connect(&mut self) -> bool {
        if self.client.as_ref().is_some_and(|client| !client.is_closed()) {
            return true;
        }
        let Some(address) = self.shared.proxy(&mut self.rng) else { return false };
        let user = if self.strict { "auditor" } else { "copyist" };
        let session = match &self.token {
            Some(token) if self.sends_token => format!("-c rudder.session={token}"),
            _ => format!("-c rudder.session_id={}", self.session),
        };
        let config = format!(
            "host={} port={} user={user} dbname={} sslmode=disable options='{session}'",
            address.ip(),
            address.port(),
            self.shared.service
        );
        let connected = timeout(REQUEST_TIMEOUT, tokio_postgres::connect(&config, NoTls)).await;
        let Ok(Ok((client, connection))) = connected else { return false };
        tokio::spawn(connection);
        self.client = Some(client);
        true
    }

    async fn write(&mut self) {
        let stored = self.new_value();
        let text = insert_statement(&stored);
        let invoked = self.shared.started.elapsed();
        let outcome = self.send(&text).await;
        self.record_write(stored, invoked, None, outcome).await;
    }

    /// Retries a request with an idempotency key at any proxy until its outcome is known. Each
    /// attempt inserts a different value, so that the stored data shows which one ran.
    async fn write_with_key(&mut self) {
        let first = self.new_value();
        let key: RequestKey =
            format!("k{}", first.value).parse().expect("the key has only allowed characters");
        let mut stored = first;
        for _ in 0..KEY_ATTEMPTS_MAX {
            let text = format!("/* rudder:key={key} */ {}", insert_statement(&stored));
            let invoked = self.shared.started.elapsed();
            self.already_run = false;
            let outcome = if self.connect().await { self.send(&text).await } else { None };
            let ran = matches!(outcome, Some((WriteOutcome::Acknowledged, _)));
            self.record_write(stored, invoked, Some(key.clone()), outcome).await;
            if ran || self.already_run {
                return;
            }
            self.client = None;
            stored = self.new_value();
        }
    }

    fn new_value(&mut self) -> StoredValue {
        let value = self.shared.next_value.fetch_add(1, Ordering::Relaxed);
        StoredValue { row: format!("r{}", self.rng.random_range(0..ROW_COUNT)), value }
    }

    /// Sends a statement; `None` if there was no response, as the connection ended or timed out.
    async fn send(&mut self, text: &str) -> Option<(WriteOutcome, Vec<SimpleQueryMessage>)> {
        let client = self.client.as_ref()?;
        match timeout(REQUEST_TIMEOUT, client.simple_query(text)).await {
            Ok(Ok(messages)) => Some((WriteOutcome::Acknowledged, messages)),
            Ok(Err(error)) => {
                let class = outcome_class(&error);
                if class.is_none() {
                    self.client = None;
                }
                self.already_run = error.code().is_some_and(|code| code.code() == "RU003");
                class.map(|class| (WriteOutcome::Refused(class), Vec::new()))
            }
            Err(_) => {
                self.client = None;
                None
            }
        }
    }

    async fn record_write(
        &mut self,
        stored: StoredValue,
        invoked: Duration,
        key: Option<RequestKey>,
        outcome: Option<(WriteOutcome, Vec<SimpleQueryMessage>)>,
    ) {
        let answered = outcome.map(|(outcome, _)| outcome);
        if answered.is_none() {
            self.record.unanswered += 1;
        }
        // Without a response it is unknown whether the write took effect.
        let outcome = answered.unwrap_or(WriteOutcome::Refused(OutcomeClass::Unknown));
        let returned = self.shared.started.elapsed();
        let session = self.session.clone();
        self.record.writes.push(WriteRecord { session, invoked, returned, stored, key, outcome });
        if outcome == WriteOutcome::Acknowledged && self.sends_token {
            self.fetch_token().await;
        }
    }

    async fn fetch_token(&mut self) {
        let shown = self.send("SHOW rudder.session").await;
        let messages = shown.map(|(_, messages)| messages).unwrap_or_default();
        let token = messages.iter().find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        });
        match token {
            Some(token) => self.token = Some(token),
            // The write was acknowledged, but its token could not be fetched, so the session can
            // only be identified by its id from now on.
            None => self.sends_token = false,
        }
    }

    async fn read(&mut self) {
        let row = format!("r{}", self.rng.random_range(0..ROW_COUNT));
        let invoked = self.shared.started.elapsed();
        let text = format!("SELECT value FROM entries WHERE row = '{row}'");
        let Some((WriteOutcome::Acknowledged, messages)) = self.send(&text).await else {
            return;
        };
        let value = |message: &SimpleQueryMessage| match message {
            SimpleQueryMessage::Row(row) => row.get(0)?.parse().ok(),
            _ => None,
        };
        let values = messages.iter().filter_map(value).collect();
        let bound = if self.strict { Duration::ZERO } else { Duration::from_secs(2) };
        let session = self.session.clone();
        self.record.reads.push(ReadRecord { session, invoked, row, values, bound });
    }
}

fn insert_statement(stored: &StoredValue) -> String {
    format!("INSERT INTO entries VALUES ('{}', {})", stored.row, stored.value)
}

/// Returns the outcome class of an error by its DETAIL; `None` if the connection ended.
fn outcome_class(error: &tokio_postgres::Error) -> Option<OutcomeClass> {
    let error = error.as_db_error()?;
    match error.detail() {
        Some("outcome: not_run") => Some(OutcomeClass::NotRun),
        // The change recorded under the key may be that of this attempt, made before its response
        // was lost.
        Some("outcome: unknown" | "outcome: already_run") => Some(OutcomeClass::Unknown),
        // The proxy refused the connection, or closed it before the request ran.
        _ if error.code().code().starts_with("57P") => Some(OutcomeClass::NotRun),
        _ => Some(OutcomeClass::Failed),
    }
}
