//! Members, logs, terms and replication of the line-protocol group.

use super::session::serve_connection;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Time for which a superseded primary continues to act as primary after a promotion, unless it
/// receives `STEPDOWN`.
const SUPERSEDED_TIME: Duration = Duration::from_secs(1);

/// Maximum number of connections to a member.
const CONNECTIONS_MAX: usize = 60;

/// A committed entry in a member's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineCommit {
    /// Term of the primary that committed it.
    pub term: u64,
    /// Sequence number in the log.
    pub number: u64,
    /// Writes in order, each with request id, item and data.
    pub writes: Vec<(String, String, String)>,
    /// Time of the commit.
    pub at: Instant,
}

/// A caller's statement that a member received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineStatement {
    /// Id of the request.
    pub id: String,
    /// User that connected.
    pub user: String,
    /// Whether the statement is outside a transaction or the first one in a transaction.
    pub begins: bool,
    /// Time at which the member received it.
    pub at: Instant,
}

/// Start time of a member's first process in milliseconds since 1970.
const MEMBER_START_MS: u64 = 1_700_000_000_000;

/// Public view of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineMember {
    /// Id of the member.
    pub id: String,
    /// Address on which the member listens.
    pub address: SocketAddr,
    /// Whether the member acts as primary; a superseded primary still may.
    pub is_primary: bool,
    /// Start time in milliseconds since 1970.
    pub started_at_ms: u64,
}

#[derive(Debug)]
pub(super) struct MemberState {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) is_primary: bool,
    pub(super) term: u64,
    pub(super) log: Vec<LineCommit>,
    /// Whether the member receives nothing from the primary.
    is_deaf: bool,
    pub(super) connections: usize,
    started_at_ms: u64,
    /// Whether the member runs; its connections end when this becomes false.
    pub(super) running: watch::Sender<bool>,
}

#[derive(Debug)]
pub(super) struct GroupState {
    pub(super) service: String,
    pub(super) members: Vec<MemberState>,
    /// Index of the member that was promoted last, which the replicas follow.
    primary: usize,
    lag: Duration,
    /// Number of replicas that receive a commit before it is acknowledged.
    sync_replicas: usize,
    tokens: Vec<u64>,
    promoted_at: Option<Instant>,
    /// Time between a promotion order and its effect.
    promotion_time: Duration,
    /// Ids of the writes that promotions rolled back.
    rolled_back_writes: Vec<String>,
    statements: Vec<LineStatement>,
}

impl GroupState {
    pub(super) fn record_statement(&mut self, statement: LineStatement) {
        self.statements.push(statement);
    }

    /// Applies the primary's commits that are older than the replication lag to a replica's log.
    pub(super) fn catch_up(&mut self, index: usize) {
        self.demote_superseded(index);
        let (primary, member) = (&self.members[self.primary], &self.members[index]);
        let receives = index != self.primary && !member.is_primary && !member.is_deaf;
        if !receives || !*primary.running.borrow() {
            return;
        }
        let now = Instant::now();
        let due = primary.log.iter().take_while(|commit| commit.at + self.lag <= now).count();
        let same = common_length(&primary.log, &member.log);
        let is_ahead = member.log.len() > same;
        let (term, missing) = (primary.term, primary.log[same.min(due)..due].to_vec());
        let member = &mut self.members[index];
        member.term = term;
        if is_ahead || !missing.is_empty() {
            // Commits that the primary does not have are rolled back.
            member.log.truncate(same);
            member.log.extend(missing);
        }
    }

    /// Demotes a superseded primary once [`SUPERSEDED_TIME`] has passed since the promotion.
    fn demote_superseded(&mut self, index: usize) {
        let must_step_down = self.promoted_at.is_some_and(|at| at.elapsed() >= SUPERSEDED_TIME);
        if must_step_down {
            self.step_down(index);
        }
    }

    /// Returns whether enough replicas have received a member's whole log, so that its last commit
    /// may be acknowledged.
    pub(super) fn is_replicated(&mut self, index: usize) -> bool {
        let others: Vec<usize> = (0..self.members.len()).filter(|other| *other != index).collect();
        for other in &others {
            if *self.members[*other].running.borrow() {
                self.catch_up(*other);
            }
        }
        let log = &self.members[index].log;
        let has_all = |other: &&usize| common_length(log, &self.members[**other].log) == log.len();
        others.iter().filter(has_all).count() >= self.sync_replicas
    }

    /// Appends a commit to a member's own log.
    pub(super) fn commit(&mut self, index: usize, writes: Vec<(String, String, String)>) {
        let member = &mut self.members[index];
        let number = member.log.last().map_or(0, |commit| commit.number) + 1;
        member.log.push(LineCommit { term: member.term, number, writes, at: Instant::now() });
    }

    /// Demotes a superseded primary to a replica. What the new primary does not have is rolled back
    /// when it catches up.
    pub(super) fn step_down(&mut self, index: usize) {
        if index != self.primary {
            self.members[index].is_primary = false;
        }
    }

    /// Returns the index of a member that can be promoted.
    fn running_member(&self, id: &str) -> Option<usize> {
        let index = self.members.iter().position(|member| member.id == id)?;
        self.members[index].running.borrow().then_some(index)
    }

    fn leads(&self, index: usize) -> bool {
        index == self.primary && self.members[index].is_primary
    }

    /// Promotes a member, if it runs and is not the primary already.
    fn promote(&mut self, id: &str) {
        let Some(index) = self.running_member(id).filter(|index| !self.leads(*index)) else {
            return;
        };
        self.catch_up(index);
        let term = self.members.iter().map(|member| member.term).max().unwrap_or(0) + 1;
        let same = common_length(&self.members[self.primary].log, &self.members[index].log);
        let rolled_back = self.members[self.primary].log[same..].iter();
        let rolled_back = rolled_back.flat_map(|commit| &commit.writes).map(|(id, ..)| id.clone());
        self.rolled_back_writes.extend(rolled_back.collect::<Vec<_>>());
        // Those that an earlier promotion rolled back and that the new primary has are back.
        let kept = self.members[index].log.iter().flat_map(|commit| &commit.writes);
        let kept: Vec<&String> = kept.map(|(id, ..)| id).collect();
        self.rolled_back_writes.retain(|id| !kept.contains(&id));
        self.promoted_at = Some(Instant::now());
        self.members[index].is_primary = true;
        self.members[index].term = term;
        self.primary = index;
    }
}

/// Returns the number of commits at the start of two logs that are the same.
fn common_length(left: &[LineCommit], right: &[LineCommit]) -> usize {
    left.iter().zip(right).take_while(|(left, right)| left == right).count()
}

/// A running group. It stops with the runtime that started it.
#[derive(Clone)]
pub struct LineGroup {
    state: Arc<Mutex<GroupState>>,
}

impl LineGroup {
    /// Starts `count` members on free loopback ports; the first one is the primary.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use std::time::Duration;
    /// let lag = Duration::from_millis(20);
    /// let group = rudder_standins::LineGroup::start("scores", 3, lag).await?;
    /// assert!(group.members()[0].is_primary);
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn start(service: &str, count: usize, lag: Duration) -> std::io::Result<Self> {
        let mut listeners = Vec::new();
        let mut members = Vec::new();
        for index in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            members.push(MemberState {
                id: format!("i-{service}-{index}"),
                address: listener.local_addr()?,
                is_primary: index == 0,
                term: 1,
                log: Vec::new(),
                is_deaf: false,
                connections: 0,
                started_at_ms: MEMBER_START_MS,
                running: watch::Sender::new(true),
            });
            listeners.push(listener);
        }
        let service = service.to_owned();
        let state = GroupState {
            service,
            members,
            primary: 0,
            lag,
            sync_replicas: 0,
            tokens: Vec::new(),
            promoted_at: None,
            promotion_time: Duration::ZERO,
            rolled_back_writes: Vec::new(),
            statements: Vec::new(),
        };
        let state = Arc::new(Mutex::new(state));
        for (index, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(accept(Arc::clone(&state), index, listener));
        }
        Ok(Self { state })
    }

    fn state(&self) -> MutexGuard<'_, GroupState> {
        lock(&self.state)
    }

    /// Returns the members in the order of their start.
    #[must_use]
    pub fn members(&self) -> Vec<LineMember> {
        let view = |member: &MemberState| LineMember {
            id: member.id.clone(),
            address: member.address,
            is_primary: member.is_primary,
            started_at_ms: member.started_at_ms,
        };
        self.state().members.iter().map(view).collect()
    }

    /// Promotes a member to primary of the next term with the log that it has received, after the
    /// group's promotion time and if it still runs then. Returns false if the member is stopped or
    /// unknown.
    #[must_use]
    pub fn promote(&self, id: &str, token: u64) -> bool {
        let mut state = self.state();
        state.tokens.push(token);
        let Some(index) = state.running_member(id) else { return false };
        if state.leads(index) {
            return true;
        }
        if state.promotion_time.is_zero() {
            state.promote(id);
            return true;
        }
        let (state, id, promotion_time) =
            (Arc::clone(&self.state), id.to_owned(), state.promotion_time);
        tokio::spawn(async move {
            tokio::time::sleep(promotion_time).await;
            lock(&state).promote(&id);
        });
        true
    }

    /// Sets the time between a promotion order and its effect.
    pub fn set_promotion_time(&self, promotion_time: Duration) {
        self.state().promotion_time = promotion_time;
    }

    /// Returns the fencing tokens of all promotion requests, in the order received.
    #[must_use]
    pub fn tokens(&self) -> Vec<u64> {
        self.state().tokens.clone()
    }

    /// Stops a member: its connections are closed and new ones are refused. Its log is kept.
    pub fn stop(&self, index: usize) {
        let mut state = self.state();
        state.members[index].running.send_replace(false);
        state.members[index].connections = 0;
    }

    /// Restarts a stopped member with the log that it had.
    pub fn resume(&self, index: usize) {
        self.state().members[index].running.send_replace(true);
    }

    /// Starts a stopped replica again under its id, with an empty log. A primary keeps its log.
    pub fn restart_empty(&self, index: usize) {
        let mut state = self.state();
        if index != state.primary && !state.members[index].is_primary {
            state.members[index].log.clear();
            state.members[index].started_at_ms += 1;
        }
        state.members[index].running.send_replace(true);
    }

    /// Returns whether a member runs.
    #[must_use]
    pub fn is_up(&self, index: usize) -> bool {
        *self.state().members[index].running.borrow()
    }

    /// Returns the ids of the writes that promotions rolled back because the promoted member had
    /// not received them.
    #[must_use]
    pub fn rolled_back_writes(&self) -> Vec<String> {
        self.state().rolled_back_writes.clone()
    }

    /// Returns the callers' statements that members received, in the order received.
    #[must_use]
    pub fn statements(&self) -> Vec<LineStatement> {
        self.state().statements.clone()
    }

    /// Sets the replication lag.
    pub fn set_lag(&self, lag: Duration) {
        self.state().lag = lag;
    }

    /// Sets the number of replicas that receive a commit before the primary acknowledges it.
    pub fn set_sync_replicas(&self, sync_replicas: usize) {
        self.state().sync_replicas = sync_replicas;
    }

    /// Returns the number of replicas that receive a commit before the primary acknowledges it.
    #[must_use]
    pub fn sync_replicas(&self) -> usize {
        self.state().sync_replicas
    }

    /// Sets whether a replica receives nothing from the primary.
    pub fn set_deaf(&self, index: usize, is_deaf: bool) {
        self.state().members[index].is_deaf = is_deaf;
    }

    /// Returns the log of the member that was promoted last.
    #[must_use]
    pub fn commits(&self) -> Vec<LineCommit> {
        let state = self.state();
        state.members[state.primary].log.clone()
    }

    /// Returns the log of a member.
    #[must_use]
    pub fn commits_at(&self, index: usize) -> Vec<LineCommit> {
        self.state().members[index].log.clone()
    }
}

async fn accept(state: Arc<Mutex<GroupState>>, index: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let mut running = {
            let mut state = lock(&state);
            let member = &mut state.members[index];
            if !*member.running.borrow() {
                continue;
            }
            member.connections += 1;
            member.running.subscribe()
        };
        let full = lock(&state).members[index].connections > CONNECTIONS_MAX;
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            tokio::select! {
                () = serve_connection(&state, index, stream, full) => {}
                _ = running.wait_for(|running| !*running) => {}
            }
            let mut state = lock(&state);
            let member = &mut state.members[index];
            member.connections = member.connections.saturating_sub(1);
        });
    }
}

pub(super) fn lock(state: &Mutex<GroupState>) -> MutexGuard<'_, GroupState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
