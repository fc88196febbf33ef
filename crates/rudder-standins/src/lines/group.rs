//! Members, logs, terms and replication of the stand-in.

use super::session::serve_connection;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How long a superseded primary goes on after a promotion, unless it is told to step down.
const SUPERSEDED_TIME: Duration = Duration::from_secs(1);

/// Connections that a member takes.
const CONNECTIONS_MAX: usize = 60;

/// One committed change of a member's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineCommit {
    /// The term of the primary that committed it.
    pub term: u64,
    /// Its number in the log.
    pub number: u64,
    /// The writes, in order: request id, item, data.
    pub writes: Vec<(String, String, String)>,
    /// When it was committed.
    pub at: Instant,
}

/// A statement of a caller that a member was asked to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineRun {
    /// The request's id.
    pub id: String,
    /// Who connected.
    pub user: String,
    /// Whether it is a statement outside of transactions, or the first one of a transaction.
    pub begins: bool,
    /// When it came.
    pub at: Instant,
}

/// A member, as tests see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineMember {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it believes that it leads.
    pub is_primary: bool,
}

#[derive(Debug)]
pub(super) struct MemberState {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    pub(super) is_primary: bool,
    pub(super) term: u64,
    pub(super) log: Vec<LineCommit>,
    pub(super) connections: usize,
    /// Whether it answers; tells its connections when that ends.
    pub(super) running: watch::Sender<bool>,
}

#[derive(Debug)]
pub(super) struct GroupState {
    pub(super) service: String,
    pub(super) members: Vec<MemberState>,
    /// The member that replicas follow.
    primary: usize,
    lag: Duration,
    tokens: Vec<u64>,
    promoted_at: Option<Instant>,
    /// Ids of the writes that promotions have cut back.
    cut_back: Vec<String>,
    runs: Vec<LineRun>,
}

impl GroupState {
    pub(super) fn record_run(&mut self, run: LineRun) {
        self.runs.push(run);
    }

    /// Brings a replica's log to where it is by now.
    pub(super) fn catch_up(&mut self, index: usize) {
        self.demote_superseded(index);
        let primary = &self.members[self.primary];
        if index == self.primary || self.members[index].is_primary || !*primary.running.borrow() {
            return;
        }
        let now = Instant::now();
        let due = primary.log.iter().take_while(|commit| commit.at + self.lag <= now).count();
        let (term, log) = (primary.term, primary.log[..due].to_vec());
        let member = &mut self.members[index];
        member.term = term;
        if log.len() > member.log.len() {
            member.log = log;
        }
    }

    /// A superseded primary learns of its successor and follows it.
    fn demote_superseded(&mut self, index: usize) {
        let must_step_down = self.promoted_at.is_some_and(|at| at.elapsed() >= SUPERSEDED_TIME);
        if must_step_down {
            self.step_down(index);
        }
    }

    /// Appends a commit to a member's own log.
    pub(super) fn commit(&mut self, index: usize, writes: Vec<(String, String, String)>) {
        let member = &mut self.members[index];
        let number = member.log.last().map_or(0, |commit| commit.number) + 1;
        member.log.push(LineCommit { term: member.term, number, writes, at: Instant::now() });
    }

    /// Makes a superseded primary a replica.
    pub(super) fn step_down(&mut self, index: usize) {
        if index != self.primary && self.members[index].is_primary {
            self.members[index].is_primary = false;
            self.members[index].log.clear();
        }
    }

    fn promote(&mut self, id: &str) -> bool {
        let Some(index) = self.members.iter().position(|member| member.id == id) else {
            return false;
        };
        if !*self.members[index].running.borrow() {
            return false;
        }
        if index == self.primary && self.members[index].is_primary {
            return true;
        }
        self.catch_up(index);
        let term = self.members.iter().map(|member| member.term).max().unwrap_or(0) + 1;
        let rolled_back = self.members[self.primary].log[self.members[index].log.len()..].iter();
        let rolled_back = rolled_back.flat_map(|commit| &commit.writes).map(|(id, ..)| id.clone());
        self.cut_back.extend(rolled_back.collect::<Vec<_>>());
        self.promoted_at = Some(Instant::now());
        self.members[index].is_primary = true;
        self.members[index].term = term;
        self.primary = index;
        let primary_log = self.members[index].log.clone();
        for member in self.members.iter_mut().filter(|member| !member.is_primary) {
            // What the new primary lacks is rolled back.
            let same = member.log.iter().zip(&primary_log).take_while(|(a, b)| a == b).count();
            member.log.truncate(same);
        }
        true
    }
}

/// A running group. It ends with the runtime that started it.
#[derive(Clone)]
pub struct LineGroup {
    state: Arc<Mutex<GroupState>>,
}

impl LineGroup {
    /// Starts `count` members on free ports of loopback; the first one leads.
    ///
    /// # Errors
    ///
    /// When no port can be had.
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
                connections: 0,
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
            tokens: Vec::new(),
            promoted_at: None,
            cut_back: Vec::new(),
            runs: Vec::new(),
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

    /// The members, in the order of their start.
    #[must_use]
    pub fn members(&self) -> Vec<LineMember> {
        let view = |member: &MemberState| LineMember {
            id: member.id.clone(),
            address: member.address,
            is_primary: member.is_primary,
        };
        self.state().members.iter().map(view).collect()
    }

    /// Makes a member lead the next term, with what it has received; false if it is down.
    #[must_use]
    pub fn promote(&self, id: &str, token: u64) -> bool {
        let mut state = self.state();
        state.tokens.push(token);
        state.promote(id)
    }

    /// The fencing tokens of all promotions, in the order in which they came.
    #[must_use]
    pub fn tokens(&self) -> Vec<u64> {
        self.state().tokens.clone()
    }

    /// Ends a member: its connections break and it refuses new ones. Its log stays.
    pub fn stop(&self, index: usize) {
        let mut state = self.state();
        state.members[index].running.send_replace(false);
        state.members[index].connections = 0;
    }

    /// Starts a member again that was stopped, with the log that it had.
    pub fn resume(&self, index: usize) {
        self.state().members[index].running.send_replace(true);
    }

    /// Whether a member runs.
    #[must_use]
    pub fn is_up(&self, index: usize) -> bool {
        *self.state().members[index].running.borrow()
    }

    /// Ids of the writes that promotions have cut back: the member that was promoted had not
    /// received them.
    #[must_use]
    pub fn cut_back(&self) -> Vec<String> {
        self.state().cut_back.clone()
    }

    /// The callers' statements that members were asked to run, in the order in which they came.
    #[must_use]
    pub fn runs(&self) -> Vec<LineRun> {
        self.state().runs.clone()
    }

    /// Sets how far behind the replicas are from now on.
    pub fn set_lag(&self, lag: Duration) {
        self.state().lag = lag;
    }

    /// The log of the member that was promoted last.
    #[must_use]
    pub fn commits(&self) -> Vec<LineCommit> {
        let state = self.state();
        state.members[state.primary].log.clone()
    }

    /// The log of a member.
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
