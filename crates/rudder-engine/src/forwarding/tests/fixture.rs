//! Instances in one process whose members record what they receive.

use crate::clock::boot_time;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::fixtures::{RejectingPromotion, UnavailableStore, identity, member_entry};
use crate::forwarding::choice::{HolderTarget, RequestPlace};
use crate::group::MemberEntry;
use crate::identity::EngineDependencies;
use crate::interfaces::{LinkError, MemberDialer, MemberLink, MemberTarget};
use crate::lead::{LeadPhase, LeadRecord, LeaderEpoch};
use crate::peers::{PeerEntry, serve_copies};
use crate::session::CallerSession;
use crate::settings::{
    AccountRule, AccountTable, DatabaseName, FleetSettings, KeyDigest, RouteKind, RouteRule,
    ServiceRule, SettingsVersion,
};
use crate::statement::{
    CallerStatement, MemberCommand, RequestId, StatementBody, StatementOutcome, StatementReply,
    TransactionState,
};
use async_trait::async_trait;
use rudder_core::{AccountName, LogStamp, LogTerm, MemberStatus};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::net::TcpListener;

/// Text of a statement that a member runs for [`SLOW_TIME`].
pub(super) const SLOW: &str = "SLOW";
pub(super) const SLOW_TIME: Duration = Duration::from_millis(300);

/// Text of a statement whose row has [`LARGE_ROW`] bytes.
pub(super) const LARGE: &str = "LARGE";
pub(super) const LARGE_ROW: usize = 40_000;

/// Text of a statement that fails at the member.
pub(super) const FAILING: &str = "FAILING";

/// Commands that the members received from one instance, in order, with account, request id and
/// text.
#[derive(Default)]
pub(super) struct CommandLog(Mutex<Vec<String>>);

impl CommandLog {
    fn push(&self, line: String) {
        self.0.lock().expect("no holder panics").push(line);
    }

    pub(super) fn lines(&self) -> Vec<String> {
        self.0.lock().expect("no holder panics").clone()
    }

    /// Waits until a line is in the log, for less than the idle timeout of transactions, after which
    /// a holder rolls back without being told.
    pub(super) async fn wait_for(&self, line: &str) {
        let wait = async {
            while !self.lines().iter().any(|known| known == line) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let waited = tokio::time::timeout(Duration::from_secs(2), wait).await;
        waited.unwrap_or_else(|_| panic!("{line} is missing from {:?}", self.lines()));
    }
}

struct RecordingDialer(Arc<CommandLog>);

struct RecordingLink {
    log: Arc<CommandLog>,
    account: String,
    state: TransactionState,
    commands: VecDeque<MemberCommand>,
}

#[async_trait]
impl MemberDialer for RecordingDialer {
    async fn dial(
        &self,
        _target: &MemberTarget,
        account: Option<&AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError> {
        let account = account.map_or_else(|| "-".to_owned(), ToString::to_string);
        let state = TransactionState::Idle;
        let log = Arc::clone(&self.0);
        Ok(Box::new(RecordingLink { log, account, state, commands: VecDeque::new() }))
    }

    fn read_status(&self, _reply: &StatementReply) -> Option<MemberStatus> {
        None
    }
}

#[async_trait]
impl MemberLink for RecordingLink {
    async fn send(&mut self, commands: &[MemberCommand]) -> Result<(), LinkError> {
        self.commands.extend(commands.iter().cloned());
        Ok(())
    }

    async fn receive(&mut self) -> Result<StatementReply, LinkError> {
        let command = self.commands.pop_front().ok_or(LinkError::Silent)?;
        let mut outcome = StatementOutcome::Done("proof".to_owned());
        let mut row = "row".to_owned();
        let line = match command {
            MemberCommand::Begin { read_only, .. } => {
                self.state = TransactionState::Open;
                format!("begin read_only={read_only}")
            }
            MemberCommand::Rollback => {
                self.state = TransactionState::Idle;
                "rollback".to_owned()
            }
            MemberCommand::SetValue(value) => format!("set {}={}", value.name, value.value),
            MemberCommand::Prepare { prepared, .. } => format!("prepare {}", prepared.text),
            MemberCommand::Statement { id, body, floor } => {
                let text = match body {
                    StatementBody::Text(text) => text,
                    StatementBody::Execute { alias, arguments } => format!("{alias}({arguments})"),
                    StatementBody::Commit => {
                        self.state = TransactionState::Idle;
                        "commit".to_owned()
                    }
                };
                if text == SLOW {
                    tokio::time::sleep(SLOW_TIME).await;
                }
                if text == LARGE {
                    row = "x".repeat(LARGE_ROW);
                }
                if text == FAILING {
                    let error = crate::statement::StatementError::Failed;
                    outcome = StatementOutcome::Error { error, text: "it failed".to_owned() };
                }
                let floor = floor.map_or_else(|| "-".to_owned(), |floor| floor.to_string());
                format!("{id} {text} floor={floor}")
            }
            command => format!("{command:?}"),
        };
        self.log.push(format!("{}: {line}", self.account));
        let position = Some(LogStamp::new(1, 9));
        Ok(StatementReply { rows: vec![row], outcome, state: self.state, position })
    }
}

/// An instance and what its members received from it.
pub(super) struct TestInstance {
    pub(super) engine: Arc<ProxyEngine>,
    pub(super) log: Arc<CommandLog>,
    pub(super) address: SocketAddr,
    /// Account whose statements this instance forwards.
    account: OnceLock<String>,
}

/// Names of the accounts in the settings; each is also the account's key.
pub(super) fn accounts() -> Vec<String> {
    (0..8).map(|number| format!("choir-{number}")).collect()
}

/// Returns settings whose accounts make forwarding necessary. Each member accepts
/// `connections_max` connections.
pub(super) fn settings(version: u64, accounts: &[String], connections_max: u32) -> FleetSettings {
    let route = |database: &str, kind| RouteRule {
        database: DatabaseName(database.to_owned()),
        service: "records".parse().expect("a name"),
        kind,
        statement_timeout: Duration::from_secs(3),
        latency_target: Duration::from_secs(2),
        priority: 1,
        is_public: false,
    };
    let bound = Duration::from_secs(60);
    let routes = vec![
        route("strict", RouteKind::Strict),
        route("bounded", RouteKind::Bounded(bound)),
        route("own", RouteKind::ReadYourWrites(bound)),
    ];
    let services = vec![ServiceRule {
        service: "records".parse().expect("a name"),
        connections_max,
        sync_replicas: 0,
    }];
    let rule = |name: &String| AccountRule {
        name: name.parse().expect("a name"),
        keys: vec![KeyDigest::of(name)],
        limit: None,
    };
    let table = AccountTable::sorted(accounts.iter().map(rule).collect()).expect("no duplicates");
    let idle = Duration::from_secs(3);
    FleetSettings::sorted(SettingsVersion(version), routes, services, idle).with_accounts(table)
}

/// Starts an instance with the primary `a` and the replicas `b` and `c`.
pub(super) async fn instance(name: &str) -> TestInstance {
    let log = Arc::new(CommandLog::default());
    let dependencies = EngineDependencies {
        dialer: Arc::new(RecordingDialer(Arc::clone(&log))),
        promotion: Arc::new(RejectingPromotion),
        store: Arc::new(UnavailableStore),
    };
    let engine = ProxyEngine::new(identity(name), dependencies);
    let entries: Vec<MemberEntry> = ["a", "b", "c"].map(member_entry).into();
    engine.apply_members(&entries, 1);
    engine.apply_settings(settings(1, &accounts(), 10));
    engine.set_registered(Some(boot_time()));
    confirm_primary(&engine);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(serve_copies(Arc::clone(&engine), listener));
    TestInstance { engine, log, address, account: OnceLock::new() }
}

/// Renews the lease on the primary and the sample of its position.
pub(super) fn confirm_primary(engine: &ProxyEngine) {
    let service = "records".parse().expect("a name");
    let now = boot_time();
    engine.record_store_read(std::slice::from_ref(&service), now);
    let primary = "a".parse().expect("a name");
    let phase = LeadPhase::Settled { primary, term: LogTerm(1), base: None };
    let record =
        LeadRecord { epoch: LeaderEpoch(1), mark: "m1".to_owned(), phase, orders: Vec::new() };
    engine.observe_record(&service, &record, now);
    engine.group(&service).record_peer_sample(LeaderEpoch(1), now, LogStamp::new(1, 7));
}

/// Makes two instances known to the first one, and opens its connection to the holder.
pub(super) async fn introduce(origin: &TestInstance, holder: SocketAddr) {
    let entry = |name: &str, address| PeerEntry {
        instance: name.parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        address,
        marked: false,
        capacity: None,
    };
    let entries = vec![entry("holder", holder), entry("origin", origin.address)];
    origin.engine.membership().set_entries(entries.clone(), boot_time());
    open_connections(origin, entries).await;
}

/// Makes several holders known to an instance that is farther from the members than they are, and
/// opens its connections to them.
pub(super) async fn introduce_nearer(origin: &TestInstance, holders: &[SocketAddr]) {
    let entries = list_nearer(origin, holders);
    open_connections(origin, entries).await;
}

/// Makes several holders known to an instance that is farther from the members than they are.
/// Returns their entries.
pub(super) fn list_nearer(origin: &TestInstance, holders: &[SocketAddr]) -> Vec<PeerEntry> {
    let entry = |name: &str, domain: &str, address| PeerEntry {
        instance: name.parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        address,
        marked: false,
        capacity: None,
    };
    let mut entries: Vec<PeerEntry> = (0..)
        .zip(holders)
        .map(|(number, address)| entry(&format!("holder-{number}"), "north", *address))
        .collect();
    entries.push(entry("origin", "south", origin.address));
    origin.engine.membership().set_entries(entries.clone(), boot_time());
    entries
}

/// Opens the connections to the holders in a list, as a request without an open connection runs at
/// its origin.
async fn open_connections(origin: &TestInstance, entries: Vec<PeerEntry>) {
    let holders = entries.into_iter().filter(|entry| entry.address != origin.address);
    for PeerEntry { instance, address, .. } in holders {
        origin.engine.forwarding().client().open(HolderTarget { instance, address }).await;
    }
}

/// Returns an account whose statements the origin forwards, as chosen before any of them was sent.
pub(super) fn forwarded_account(origin: &TestInstance) -> String {
    origin.account.get_or_init(|| choose_account(origin)).clone()
}

fn choose_account(origin: &TestInstance) -> String {
    let is_forwarded = |account: &String| {
        let (database, key) = (DatabaseName("strict".to_owned()), KeyDigest::of(account));
        let access = origin.engine.access(&database, &key).expect("a key");
        matches!(origin.engine.choose_place(&access, true, None), RequestPlace::Holder(_))
    };
    accounts().into_iter().find(is_forwarded).expect("an account whose holder is the other one")
}

/// Returns a pair of instances, the first of which forwards to the second.
pub(super) async fn pair() -> (TestInstance, TestInstance) {
    let (origin, holder) = (instance("origin").await, instance("holder").await);
    introduce(&origin, holder.address).await;
    (origin, holder)
}

/// Opens a session of a forwarded account.
pub(super) async fn session(origin: &TestInstance, database: &str) -> CallerSession {
    let key = KeyDigest::of(&forwarded_account(origin));
    let opened = origin.engine.open_session(DatabaseName(database.to_owned()), key).await;
    opened.expect("a session")
}

/// Returns the access of a forwarded account.
pub(super) fn access(origin: &TestInstance, database: &str) -> RouteAccess {
    let key = KeyDigest::of(&forwarded_account(origin));
    origin.engine.access(&DatabaseName(database.to_owned()), &key).expect("a key")
}

pub(super) fn id(text: &str) -> RequestId {
    RequestId(text.to_owned())
}

pub(super) async fn read(session: &mut CallerSession, text: &str) -> StatementReply {
    session.run(id("r1"), CallerStatement::Read(text.to_owned())).await
}

pub(super) async fn write(session: &mut CallerSession, text: &str) -> StatementReply {
    session.run(id("w1"), CallerStatement::Write(text.to_owned())).await
}

pub(super) async fn begin(session: &mut CallerSession) {
    let reply = session.run(id("b1"), CallerStatement::Begin { read_only: false }).await;
    assert_eq!(reply.state, TransactionState::Open);
}
