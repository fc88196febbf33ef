//! Callers that keep their sessions until something ends them, and write down what they see.

use super::checks::{ReadNote, SoakLedger, WriteFate};
use super::world::{BOUNDED, OWN, STRICT, SoakWorld, lock};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_standins::{LineClient, LineReply};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// The most time for one answer; after that the caller goes elsewhere and knows nothing.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// The pause between two operations, in milliseconds, and within a transaction.
const PAUSE_MS: std::ops::Range<u64> = 1..25;

/// Operations of one session at most.
const SESSION_LENGTH: u32 = 60;

/// How old reads of a database may be.
fn bound_of(database: &str) -> Duration {
    match database {
        BOUNDED => Duration::from_millis(1500),
        OWN => Duration::from_millis(2500),
        _ => Duration::ZERO,
    }
}

/// Callers at work.
pub(crate) struct SoakCallers {
    ledger: Arc<Mutex<SoakLedger>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl SoakCallers {
    /// Lets all operations under way end.
    pub(crate) async fn stop(self) -> SoakLedger {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a caller does not panic");
        }
        std::mem::take(&mut *lock(&self.ledger))
    }
}

/// Starts `count` callers, each with an item of its own that nobody else writes.
pub(crate) fn start(world: &SoakWorld, count: usize, seed: u64) -> SoakCallers {
    let ledger = Arc::new(Mutex::new(SoakLedger::new(count)));
    let stop = Arc::new(AtomicBool::new(false));
    let tasks = (0..count).map(|number| {
        let caller = SoakCaller {
            number,
            addresses: world.addresses(),
            ledger: Arc::clone(&ledger),
            rng: StdRng::seed_from_u64(seed * 1000 + number as u64),
            next: 0,
        };
        let stop = Arc::clone(&stop);
        tokio::spawn(async move { caller.run(&stop).await })
    });
    let tasks = tasks.collect();
    SoakCallers { ledger, stop, tasks }
}

struct SoakCaller {
    number: usize,
    addresses: Vec<SocketAddr>,
    ledger: Arc<Mutex<SoakLedger>>,
    rng: StdRng,
    next: u64,
}

/// One open session.
struct Session {
    client: LineClient,
    database: &'static str,
    /// The caller's last value that this session knows to be written.
    written: u64,
}

/// What a caller knows after a statement.
enum Said {
    Reply(LineReply),
    Nothing,
}

impl Said {
    /// What became of a write that was answered so.
    fn fate(&self) -> WriteFate {
        match self {
            Self::Nothing => WriteFate::Unknown,
            Self::Reply(reply) if reply.is_done() => WriteFate::Acknowledged,
            Self::Reply(reply) => match reply.code() {
                "BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MISROUTED" | "CONNLIMIT" => {
                    WriteFate::Refused
                }
                _ => WriteFate::Unknown,
            },
        }
    }
}

impl SoakCaller {
    async fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            if let Some(mut session) = self.connect().await {
                for _ in 0..SESSION_LENGTH {
                    let goes_on = !stop.load(Ordering::Relaxed) && self.operate(&mut session).await;
                    if !goes_on {
                        break;
                    }
                    self.pause().await;
                }
            }
            self.pause().await;
        }
    }

    async fn pause(&mut self) {
        let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
    }

    async fn connect(&mut self) -> Option<Session> {
        let address = self.addresses[self.rng.random_range(0..self.addresses.len())];
        let database = [STRICT, BOUNDED, OWN][self.rng.random_range(0..3)];
        let hello = format!("{database} caller{}", self.number);
        let connect = LineClient::connect(address, &hello);
        let connected = tokio::time::timeout(ANSWER_LIMIT, connect).await;
        let Ok(Ok((client, line))) = connected else { return None };
        if !line.starts_with("READY") {
            return None;
        }
        let mut session = Session { client, database, written: 0 };
        let set = format!("SET who caller{}", self.number);
        match self.say(&mut session, &set).await {
            (_, Said::Reply(reply)) if reply.is_done() => Some(session),
            _ => None,
        }
    }

    fn next_id(&mut self) -> (u64, String) {
        self.next += 1;
        (self.next, format!("c{}n{}", self.number, self.next))
    }

    async fn say(&mut self, session: &mut Session, text: &str) -> (String, Said) {
        let (_, id) = self.next_id();
        let said = say(session, &id, text).await;
        (id, said)
    }

    /// One operation; returns whether the session goes on.
    async fn operate(&mut self, session: &mut Session) -> bool {
        match self.rng.random_range(0..10) {
            0..3 => self.write(session).await,
            3..5 => self.transact(session).await,
            _ => self.read(session).await,
        }
    }

    async fn write(&mut self, session: &mut Session) -> bool {
        let (value, id) = self.next_id();
        let item = format!("item{}", self.number);
        let said = say(session, &id, &format!("WRITE {item} {value}")).await;
        let fate = said.fate();
        lock(&self.ledger).note_write(self.number, &id, value, fate);
        if fate == WriteFate::Acknowledged {
            session.written = value;
        }
        is_idle(&said)
    }

    /// Two writes that are kept together or not at all.
    async fn transact(&mut self, session: &mut Session) -> bool {
        if !is_open(&self.say(session, "BEGIN").await.1) {
            return false;
        }
        let mut writes = Vec::new();
        for half in ["a", "b"] {
            let (value, id) = self.next_id();
            let item = format!("pair{}{half}", self.number);
            let said = say(session, &id, &format!("WRITE {item} {value}")).await;
            writes.push(id);
            if !is_open(&said) {
                // Nothing was committed, whatever became of the statement.
                lock(&self.ledger).note_pair(&writes, WriteFate::Refused);
                return false;
            }
            self.pause().await;
        }
        let rolls_back = self.rng.random_range(0..5) == 0;
        let text = if rolls_back { "ROLLBACK" } else { "COMMIT" };
        let (_, said) = self.say(session, text).await;
        let fate = if rolls_back { WriteFate::Refused } else { said.fate() };
        lock(&self.ledger).note_pair(&writes, fate);
        is_idle(&said)
    }

    async fn read(&mut self, session: &mut Session) -> bool {
        let count = lock(&self.ledger).caller_count();
        let other = self.rng.random_range(0..count);
        let bound = bound_of(session.database);
        let own = if other == self.number && session.database == OWN { session.written } else { 0 };
        let needs = lock(&self.ledger).needs_of(other, Instant::now(), bound);
        let (id, said) = self.say(session, &format!("READ item{other}")).await;
        if let Said::Reply(reply) = &said
            && reply.is_done()
        {
            let row = reply.rows.first().cloned().unwrap_or_default();
            let note = ReadNote {
                id,
                reader: self.number,
                database: session.database,
                item: other,
                needs,
                own,
                row,
                outcome: reply.outcome.clone(),
            };
            lock(&self.ledger).note_read(note);
        }
        is_idle(&said)
    }
}

async fn say(session: &mut Session, id: &str, text: &str) -> Said {
    let query = session.client.query(id, text);
    match tokio::time::timeout(ANSWER_LIMIT, query).await {
        Ok(Ok(reply)) => Said::Reply(reply),
        Ok(Err(_)) | Err(_) => Said::Nothing,
    }
}

fn is_idle(said: &Said) -> bool {
    matches!(said, Said::Reply(reply) if reply.state() == "I")
}

fn is_open(said: &Said) -> bool {
    matches!(said, Said::Reply(reply) if reply.is_done() && reply.state() == "T")
}
