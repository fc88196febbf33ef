//! Members of one service, as `PROTOCOL.md` describes them: one primary and its replicas, terms,
//! logs, slots, `AFTER`, `STATUS`, `STEPDOWN`, and promotion by the platform.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

/// Time after which a superseded primary that can reach the new one becomes its replica.
const SUPERSEDED: Duration = Duration::from_secs(1);
/// Time after which a member drops a connection whose remote end is unreachable.
const UNREACHABLE: Duration = Duration::from_secs(3);
const CONNECTIONS_MAX: usize = 38;
const SLOTS: usize = 3;
const QUEUE: usize = 24;
const HANDSHAKE: Duration = Duration::from_millis(12);
const TICK: Duration = Duration::from_millis(2);

/// One commit in a log, known by its time.
#[derive(Clone, Debug)]
pub struct Entry {
    pub term: u64,
    pub number: u64,
    pub id: String,
    pub item: String,
    pub data: String,
    pub at: Instant,
}

/// A commit as it was made at a member.
#[derive(Clone, Debug)]
pub struct Commit {
    pub id: String,
    pub member: usize,
    pub at: Instant,
    /// Whether a promotion of another member had taken effect before.
    pub superseded: bool,
}

pub struct Member {
    pub id: String,
    pub domain: &'static str,
    pub address: SocketAddr,
    /// Whether the process runs. A crash keeps the log.
    pub up: bool,
    /// Number of crashes, by which connections of an earlier process are known.
    pub life: u64,
    pub leads: bool,
    pub term: u64,
    pub log: Vec<Entry>,
    /// Time until it receives a commit of the primary.
    pub lag: Duration,
    /// Whether it receives nothing from the primary.
    pub deaf: bool,
    /// Commits that it receives in a tick while it copies the log anew.
    pub copy_rate: usize,
    /// Whether the machine is lost for good.
    pub gone: bool,
    /// Whether the links to the other members are cut.
    pub cut_members: bool,
    /// Whether the link to the store is cut.
    pub cut_store: bool,
    /// Instances from which it is cut.
    pub cut_from: HashSet<String>,
    /// Start of its process in Unix milliseconds.
    pub born: u64,
    pub connections: usize,
    slots: Arc<Semaphore>,
    queued: usize,
    reaches_since: Option<Instant>,
}

impl Member {
    fn is_cut_from(&self, user: &str) -> bool {
        self.cut_from.contains(user)
    }
}

pub struct State {
    pub service: String,
    pub members: Vec<Member>,
    /// Member that was promoted last.
    pub leader: usize,
    pub newest_term: u64,
    pub promote_time: Duration,
    pub work: Duration,
    pub sync: usize,
    pub commits: Vec<Commit>,
    /// Promotions that took effect.
    pub promotions: Vec<(Instant, usize, u64)>,
    /// Promotion calls with their tokens.
    pub orders: Vec<(String, String, u64)>,
    /// Commits that a promotion rolled back.
    pub rolled_back: HashSet<String>,
    /// Acknowledged commits, with the time at which the client had the answer.
    pub acked: HashMap<String, Instant>,
    /// Time at which a client began to send a request.
    pub sent: HashMap<String, Instant>,
    /// Reads that ran, with the acknowledged commits that the log lacked, rolled back or not.
    pub reads: HashMap<String, (usize, Vec<String>)>,
    /// Reads that were answered with success.
    pub answered_reads: Vec<(String, usize, Vec<String>)>,
    pub record: Vec<String>,
    pub started: Instant,
}

impl State {
    pub fn note(&mut self, text: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.record.push(format!("{at:9.3} {text}"));
    }

    /// Records that a client had a success for a request.
    pub fn acked_or_read(&mut self, id: &str, text: &str) {
        if text.starts_with("WRITE") || text == "COMMIT" {
            self.acked.insert(id.to_owned(), Instant::now());
        } else if let Some((index, missing)) = self.reads.get(id).cloned() {
            self.answered_reads.push((id.to_owned(), index, missing));
        }
    }

    /// Members exchange logs with the primary that was promoted last.
    fn replicate(&mut self) {
        let now = Instant::now();
        let leader = self.leader;
        let log = std::mem::take(&mut self.members[leader].log);
        let primary = &self.members[leader];
        let (term, reachable) = (primary.term, primary.up && !primary.cut_members && primary.leads);
        let mut notes = Vec::new();
        for (index, member) in self.members.iter_mut().enumerate() {
            if index == leader {
                continue;
            }
            if !reachable || !member.up || member.cut_members {
                member.reaches_since = None;
                continue;
            }
            let since = *member.reaches_since.get_or_insert(now);
            if member.leads {
                if now < since + SUPERSEDED {
                    continue;
                }
                member.leads = false;
                notes.push(format!("member {} steps down: it reaches the new primary", member.id));
            }
            if member.deaf {
                continue;
            }
            member.term = term;
            let same = common(&member.log, &log);
            member.log.truncate(same);
            let lag = member.lag;
            let due = log[same..].iter().take_while(|entry| entry.at + lag <= now);
            member.log.extend(due.take(member.copy_rate).cloned());
        }
        self.members[leader].log = log;
        for text in notes {
            self.note(text);
        }
    }

    fn position(&self, index: usize) -> (u64, u64) {
        let member = &self.members[index];
        member.log.last().map_or((member.term, 0), |entry| (entry.term, entry.number))
    }

    fn commit(&mut self, index: usize, id: &str, item: &str, data: &str) {
        let superseded = index != self.leader;
        let member = &mut self.members[index];
        let number = member.log.last().map_or(0, |entry| entry.number) + 1;
        let (term, at) = (member.term, Instant::now());
        member.log.push(Entry {
            term,
            number,
            id: id.to_owned(),
            item: item.to_owned(),
            data: data.to_owned(),
            at,
        });
        let name = member.id.clone();
        self.commits.push(Commit { id: id.to_owned(), member: index, at, superseded });
        self.note(format!("ran    {id} WRITE {item} {data} at {name} as {term}.{number}"));
    }

    /// Number of other members whose log holds a commit.
    fn copies(&self, index: usize, id: &str) -> usize {
        let holds = |member: &Member| member.log.iter().rev().any(|entry| entry.id == id);
        let others = self.members.iter().enumerate().filter(|(other, _)| *other != index);
        others.filter(|(_, member)| holds(member)).count()
    }

    fn record_read(&mut self, index: usize, id: &str, item: &str) {
        let Some(sent) = self.sent.get(id).copied() else { return };
        let log: HashSet<&str> =
            self.members[index].log.iter().map(|entry| entry.id.as_str()).collect();
        let mut missing: Vec<String> = Vec::new();
        for (acked, at) in &self.acked {
            if *at < sent && !log.contains(acked.as_str()) {
                missing.push(acked.clone());
            }
        }
        missing.sort();
        let (term, number) = self.position(index);
        let name = self.members[index].id.clone();
        let count = missing.iter().filter(|id| !self.rolled_back.contains(*id)).count();
        self.note(format!(
            "ran    {id} READ {item} at {name} on {term}.{number}, lacks {count} acknowledged commits"
        ));
        self.reads.insert(id.to_owned(), (index, missing));
    }

    fn promote(&mut self, index: usize) {
        self.newest_term += 1;
        let term = self.newest_term;
        let log_ids: HashSet<String> =
            self.members[index].log.iter().map(|entry| entry.id.clone()).collect();
        let lost: Vec<String> = self
            .commits
            .iter()
            .filter(|commit| !log_ids.contains(&commit.id))
            .map(|commit| commit.id.clone())
            .collect();
        let fresh: Vec<String> =
            lost.into_iter().filter(|id| !self.rolled_back.contains(id)).collect();
        let acked = fresh.iter().filter(|id| self.acked.contains_key(*id)).count();
        let member = &mut self.members[index];
        member.leads = true;
        member.term = term;
        let name = member.id.clone();
        self.note(format!(
            "promotion of {name} takes effect, term {term}; commits rolled back by it: {} ({acked} acknowledged)",
            fresh.len()
        ));
        // Commits of an earlier primary that are in the log of the new one are there again.
        let back: Vec<String> =
            self.rolled_back.iter().filter(|id| log_ids.contains(*id)).cloned().collect();
        if !back.is_empty() {
            self.note(format!(
                "commits that an earlier promotion rolled back return: {}",
                back.len()
            ));
        }
        self.rolled_back.retain(|id| !log_ids.contains(id));
        self.rolled_back.extend(fresh);
        self.leader = index;
        self.promotions.push((Instant::now(), index, term));
    }
}

/// Length up to which two logs are the same. Logs that share an entry share all before it.
fn common(left: &[Entry], right: &[Entry]) -> usize {
    let length = left.len().min(right.len());
    let same = |index: &usize| left[*index].at == right[*index].at;
    (0..length).rev().find(same).map_or(0, |index| index + 1)
}

#[derive(Clone)]
pub struct Group(Arc<Mutex<State>>);

impl Group {
    pub async fn start(service: &str, domains: &[&'static str]) -> std::io::Result<Self> {
        let mut members = Vec::new();
        let mut listeners = Vec::new();
        for (index, domain) in domains.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            members.push(Member {
                id: format!("i-{service}-{index}"),
                domain,
                address: listener.local_addr()?,
                up: true,
                life: 0,
                leads: index == 0,
                term: 1,
                log: Vec::new(),
                lag: Duration::from_millis(60),
                deaf: false,
                copy_rate: usize::MAX,
                gone: false,
                cut_members: false,
                cut_store: false,
                cut_from: HashSet::new(),
                born: 1_700_000_000_000,
                connections: 0,
                slots: Arc::new(Semaphore::new(SLOTS)),
                queued: 0,
                reaches_since: None,
            });
            listeners.push(listener);
        }
        let state = State {
            service: service.to_owned(),
            members,
            leader: 0,
            newest_term: 1,
            promote_time: Duration::from_millis(300),
            work: Duration::from_millis(6),
            sync: 0,
            commits: Vec::new(),
            promotions: Vec::new(),
            orders: Vec::new(),
            rolled_back: HashSet::new(),
            acked: HashMap::new(),
            sent: HashMap::new(),
            reads: HashMap::new(),
            answered_reads: Vec::new(),
            record: Vec::new(),
            started: Instant::now(),
        };
        let group = Self(Arc::new(Mutex::new(state)));
        for (index, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(accept(group.clone(), index, listener));
        }
        let ticking = group.clone();
        tokio::spawn(async move {
            loop {
                ticking.lock().replicate();
                tokio::time::sleep(TICK).await;
            }
        });
        Ok(group)
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn note(&self, text: impl Into<String>) {
        self.lock().note(text.into());
    }

    /// `POST /promotion`: returns whether the member runs. It leads some time later.
    pub fn order(&self, member: &str, holder: &str, token: u64) -> bool {
        let mut state = self.lock();
        state.orders.push((member.to_owned(), holder.to_owned(), token));
        let found = state.members.iter().position(|known| known.id == member);
        let running = found.filter(|index| state.members[*index].up);
        let answer = if running.is_some() { 200 } else { 409 };
        state.note(format!(
            "platform: POST /promotion {member} by {holder}, token {token}: {answer}"
        ));
        let Some(index) = running else { return false };
        if state.leader == index && state.members[index].leads {
            return true;
        }
        let time = state.promote_time;
        drop(state);
        let group = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(time).await;
            let mut state = group.lock();
            let present = state.leader == index && state.members[index].leads;
            if state.members[index].up && !present {
                state.promote(index);
            }
        });
        true
    }

    /// The process of a member ends.
    pub fn crash(&self, index: usize) {
        let mut state = self.lock();
        let member = &mut state.members[index];
        member.up = false;
        member.life += 1;
        member.connections = 0;
        member.queued = 0;
        let name = member.id.clone();
        state.note(format!("trouble: member {name} crashes"));
    }

    /// A crashed member comes back with its log, as a replica if another was promoted.
    pub fn restart(&self, index: usize) {
        let mut state = self.lock();
        let is_leader = state.leader == index;
        let member = &mut state.members[index];
        if member.up {
            return;
        }
        member.up = true;
        member.leads = is_leader;
        let name = member.id.clone();
        let role = if is_leader { "primary" } else { "replica" };
        state.note(format!("trouble ends: member {name} is back with its log, as {role}"));
    }

    /// A crashed replica starts again under its id. It holds and knows nothing of before, and copies
    /// the log from the primary.
    pub fn restart_empty(&self, index: usize, copy_rate: usize) {
        let mut state = self.lock();
        let member = &mut state.members[index];
        member.up = true;
        member.leads = false;
        member.log.clear();
        member.born += 60_000;
        member.copy_rate = copy_rate;
        let name = member.id.clone();
        state.note(format!("trouble: member {name} starts again under its id, with an empty log"));
    }

    /// Partitions a member from the store alone, or ends that.
    pub fn cut_store(&self, index: usize, cut: bool) {
        let mut state = self.lock();
        let member = &mut state.members[index];
        member.cut_store = cut;
        let name = member.id.clone();
        let text = if cut { "trouble: the link" } else { "trouble ends: the link" };
        state.note(format!("{text} of member {name} to the store is cut: {cut}"));
    }

    /// A replica receives nothing from the primary, or does again.
    pub fn set_deaf(&self, index: usize, deaf: bool) {
        let mut state = self.lock();
        state.members[index].deaf = deaf;
        let name = state.members[index].id.clone();
        state.note(format!("trouble: member {name} receives nothing: {deaf}"));
    }

    /// Partitions a member from the other members, the store, and some instances.
    pub fn cut(&self, index: usize, from: &[&str]) {
        let mut state = self.lock();
        let member = &mut state.members[index];
        member.cut_members = true;
        member.cut_store = true;
        member.cut_from = from.iter().map(|name| (*name).to_owned()).collect();
        let name = member.id.clone();
        state.note(format!(
            "trouble: member {name} is partitioned from the other members, the store and {from:?}"
        ));
    }

    pub fn heal(&self, index: usize) {
        let mut state = self.lock();
        let member = &mut state.members[index];
        member.cut_members = false;
        member.cut_store = false;
        member.cut_from.clear();
        let name = member.id.clone();
        state.note(format!("trouble ends: the partition of member {name} heals"));
    }
}

async fn accept(group: Group, index: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let life = {
            let state = group.lock();
            let member = &state.members[index];
            if !member.up {
                continue;
            }
            member.life
        };
        let group = group.clone();
        tokio::spawn(async move {
            group.lock().members[index].connections += 1;
            tokio::select! {
                () = serve(&group, index, stream) => {}
                () = crashed(&group, index, life) => {}
            }
            let mut state = group.lock();
            let member = &mut state.members[index];
            if member.life == life {
                member.connections = member.connections.saturating_sub(1);
            }
        });
    }
}

async fn crashed(group: &Group, index: usize, life: u64) {
    while group.lock().members[index].life == life {
        tokio::time::sleep(TICK).await;
    }
}

/// Waits while the link to an instance is cut. Returns whether the connection outlives the cut.
async fn pass_link(group: &Group, index: usize, user: &str) -> bool {
    let since = Instant::now();
    let mut was_cut = false;
    loop {
        if !group.lock().members[index].is_cut_from(user) {
            // What was in transit over a cut link is lost with its connection.
            return !was_cut;
        }
        was_cut = true;
        if since.elapsed() > UNREACHABLE {
            return false;
        }
        tokio::time::sleep(TICK).await;
    }
}

#[derive(Default)]
struct Session {
    values: Vec<(String, String)>,
    names: Vec<(String, String)>,
    open: Option<Open>,
}

struct Open {
    read_only: bool,
    failed: bool,
    writes: Vec<(String, String, String)>,
}

async fn serve(group: &Group, index: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    let Ok(Some(startup)) = lines.next_line().await else { return };
    let fields: Vec<&str> = startup.split(' ').collect();
    let user = fields.get(2).copied().unwrap_or_default().to_owned();
    if !pass_link(group, index, &user).await {
        return;
    }
    let (answer, slots) = {
        let state = group.lock();
        let member = &state.members[index];
        let slots = Arc::clone(&member.slots);
        if member.connections > CONNECTIONS_MAX {
            ("ERROR CONNLIMIT full\r\n".to_owned(), slots)
        } else if fields.first() == Some(&"STARTUP")
            && fields.get(1) == Some(&state.service.as_str())
            && fields.get(3).is_none_or(|id| *id == member.id)
        {
            let (term, number) = state.position(index);
            (format!("READY I {term}.{number}\r\n"), slots)
        } else {
            ("ERROR MISROUTED not here\r\n".to_owned(), slots)
        }
    };
    if answer.starts_with("READY") {
        let Ok(_slot) = slots.acquire().await else { return };
        tokio::time::sleep(HANDSHAKE).await;
    }
    if writer.write_all(answer.as_bytes()).await.is_err() || answer.starts_with("ERROR") {
        return;
    }
    let mut session = Session::default();
    while let Ok(Some(line)) = lines.next_line().await {
        if !pass_link(group, index, &user).await {
            return;
        }
        let Some((id, text)) = line.strip_prefix("QUERY ").and_then(|rest| rest.split_once(' '))
        else {
            return;
        };
        let answer = run(group, index, &mut session, id, text).await;
        let (term, number) = group.lock().position(index);
        let state = match &session.open {
            None => "I",
            Some(open) if open.failed => "E",
            Some(_) => "T",
        };
        let text = format!("{answer}READY {state} {term}.{number}\r\n");
        if !pass_link(group, index, &user).await || writer.write_all(text.as_bytes()).await.is_err()
        {
            return;
        }
    }
}

fn done(proof: &str) -> String {
    format!("COMPLETE {proof}\r\n")
}

fn error(code: &str) -> String {
    format!("ERROR {code} -\r\n")
}

async fn run(group: &Group, index: usize, session: &mut Session, id: &str, text: &str) -> String {
    let (text, floor) = split_floor(text);
    let (verb, rest) = text.split_once(' ').unwrap_or((text, ""));
    if session.open.as_ref().is_some_and(|open| open.failed) && verb != "ROLLBACK" {
        return error("MALFORMED");
    }
    let takes_slot = matches!(verb, "READ" | "WRITE" | "EXECUTE" | "COMMIT" | "STATUS");
    let _slot = if takes_slot {
        let (slots, work, full) = {
            let mut state = group.lock();
            let work = if verb == "STATUS" { Duration::ZERO } else { state.work };
            let member = &mut state.members[index];
            let full = member.queued >= QUEUE;
            if !full {
                member.queued += 1;
            }
            (Arc::clone(&member.slots), work, full)
        };
        if full {
            return error("BUSY");
        }
        let slot = slots.acquire_owned().await;
        tokio::time::sleep(work).await;
        let mut state = group.lock();
        let queued = &mut state.members[index].queued;
        *queued = queued.saturating_sub(1);
        drop(state);
        Some(slot)
    } else {
        None
    };
    if let Some(floor) = floor
        && group.lock().position(index) < floor
    {
        return error("LAGGING");
    }
    match verb {
        "RESET" => {
            session.values.clear();
            session.names.clear();
            done("-")
        }
        "SET" => {
            let (name, value) = rest.split_once(' ').unwrap_or((rest, ""));
            session.values.retain(|(known, _)| known != name);
            session.values.push((name.to_owned(), value.to_owned()));
            done("-")
        }
        "PREPARE" => {
            let (name, shape) = rest.split_once(' ').unwrap_or((rest, ""));
            session.names.retain(|(known, _)| known != name);
            session.names.push((name.to_owned(), shape.to_owned()));
            done("-")
        }
        "STATUS" => format!("DATAROW {}\r\n{}", status(&group.lock(), index), done("-")),
        "STEPDOWN" => {
            let mut state = group.lock();
            let term: u64 = rest.parse().unwrap_or(0);
            if state.members[index].leads && state.members[index].term < term {
                state.members[index].leads = false;
                let name = state.members[index].id.clone();
                state.note(format!("member {name} steps down: STEPDOWN {term}"));
            }
            format!("DATAROW {}\r\n{}", status(&state, index), done("-"))
        }
        "BEGIN" => {
            let read_only = rest == "READ";
            if !read_only && !group.lock().members[index].leads {
                return error("READONLY");
            }
            session.open = Some(Open { read_only, failed: false, writes: Vec::new() });
            done("-")
        }
        "ROLLBACK" => {
            session.open = None;
            done("-")
        }
        "COMMIT" => commit(group, index, session, id).await,
        "EXECUTE" => {
            let (name, rest) = rest.split_once(' ').unwrap_or((rest, ""));
            let shape = session.names.iter().find(|(known, _)| known == name);
            match shape.map(|(_, shape)| shape.starts_with("WRITE")) {
                None => error("NOSTMT"),
                Some(true) => write(group, index, session, id, rest).await,
                Some(false) => read(group, index, session, id, rest),
            }
        }
        "READ" => read(group, index, session, id, rest),
        "WRITE" => write(group, index, session, id, rest).await,
        _ => error("MALFORMED"),
    }
}

fn split_floor(text: &str) -> (&str, Option<(u64, u64)>) {
    let parsed = text.strip_prefix("AFTER ").and_then(|rest| {
        let (floor, rest) = rest.split_once(' ')?;
        let (term, number) = floor.split_once('.')?;
        Some((rest, (term.parse().ok()?, number.parse().ok()?)))
    });
    parsed.map_or((text, None), |(rest, floor)| (rest, Some(floor)))
}

/// Role, term, position received, term held, lag in ms, busy, connections.
fn status(state: &State, index: usize) -> String {
    let member = &state.members[index];
    let role = if member.leads { "primary" } else { "replica" };
    let (term, number) = state.position(index);
    let (busy, connections) = (SLOTS - member.slots.available_permits(), member.connections);
    format!("{role} {} {term}.{number} 0 0 {busy} {connections}", member.term)
}

fn proof(state: &State, index: usize, id: &str) -> String {
    format!("{}.{id}", state.members[index].id)
}

fn fail(session: &mut Session) {
    if let Some(open) = session.open.as_mut() {
        open.failed = true;
    }
}

fn read(group: &Group, index: usize, session: &mut Session, id: &str, item: &str) -> String {
    let mut state = group.lock();
    if session.open.as_ref().is_some_and(|open| !open.read_only) && !state.members[index].leads {
        fail(session);
        return error("READONLY");
    }
    state.record_read(index, id, item);
    let own = session.open.iter().flat_map(|open| &open.writes);
    let own = own.filter(|(_, known, _)| known == item).map(|(.., data)| data.clone()).next_back();
    let log = state.members[index].log.iter().rev().find(|entry| entry.item == item);
    let data = own.or_else(|| log.map(|entry| entry.data.clone()));
    format!("DATAROW {}\r\n{}", data.as_deref().unwrap_or("none"), done(&proof(&state, index, id)))
}

async fn write(group: &Group, index: usize, session: &mut Session, id: &str, rest: &str) -> String {
    let (item, data) = rest.split_once(' ').unwrap_or((rest, ""));
    let read_only = session.open.as_ref().is_some_and(|open| open.read_only);
    if read_only || !group.lock().members[index].leads {
        fail(session);
        return error("READONLY");
    }
    if let Some(open) = session.open.as_mut() {
        open.writes.push((id.to_owned(), item.to_owned(), data.to_owned()));
        return done(&proof(&group.lock(), index, id));
    }
    group.lock().commit(index, id, item, data);
    await_copies(group, index, id).await;
    done(&proof(&group.lock(), index, id))
}

async fn commit(group: &Group, index: usize, session: &mut Session, id: &str) -> String {
    let Some(open) = session.open.take() else { return error("MALFORMED") };
    if open.writes.is_empty() {
        return done(&proof(&group.lock(), index, id));
    }
    let last = {
        let mut state = group.lock();
        if !state.members[index].leads {
            return error("READONLY");
        }
        for (write, item, data) in &open.writes {
            state.commit(index, write, item, data);
        }
        open.writes.last().map(|(write, ..)| write.clone())
    };
    if let Some(last) = last {
        await_copies(group, index, &last).await;
    }
    done(&proof(&group.lock(), index, id))
}

/// Waits until as many replicas have received a commit as `syncReplicas` says.
async fn await_copies(group: &Group, index: usize, id: &str) {
    loop {
        {
            let state = group.lock();
            if state.copies(index, id) >= state.sync {
                return;
            }
        }
        tokio::time::sleep(TICK).await;
    }
}
