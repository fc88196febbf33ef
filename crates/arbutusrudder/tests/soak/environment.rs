//! What surrounds the programs, and carrying faults out on it.

use super::faults::{LinkHarm, SoakFault, SoakPlan, TimedSoakFault};
use super::process::{ProcessFiles, ProcessSignal, SoakProcess};
use rudder_standins::{
    LineAccount, LineClient, LineDatabase, LineEntry, LineFleet, LineKind, LineSeat, LinkDirection,
    LinkFault, LinkSettings, LinkStandin, ObjectsFault,
};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const SERVICE: &str = "records";

/// The databases, one for each kind of read.
pub(crate) const STRICT: &str = "db-strict";
pub(crate) const BOUNDED: &str = "db-bounded";
pub(crate) const OWN: &str = "db-own";

/// Client accounts, one for each caller; more than there are callers.
const ACCOUNTS: usize = 64;

/// Operations a second, and at once beyond them, of every other account: less than its caller asks for.
pub(crate) const ACCOUNT_LIMIT: (u32, u32) = (5, 5);

/// The account of a caller, whose key is its name.
pub(crate) fn account_of(caller: &str) -> String {
    format!("account-{caller}")
}

/// Whether the account of a caller is limited.
pub(crate) fn is_limited(caller: usize) -> bool {
    caller % 2 == 1
}

fn accounts() -> Vec<LineAccount> {
    let account = |caller: String, limit| LineAccount {
        name: account_of(&caller),
        keys: vec![caller],
        limit,
    };
    let limit = (f64::from(ACCOUNT_LIMIT.0), f64::from(ACCOUNT_LIMIT.1));
    let limit_of = |number: usize| is_limited(number).then_some(limit);
    let mut accounts: Vec<_> =
        (0..ACCOUNTS).map(|number| account(format!("caller{number}"), limit_of(number))).collect();
    accounts.push(account("probe".to_owned(), None));
    accounts
}

/// How far replicas are behind when nothing is wrong.
const USUAL_LAG: Duration = Duration::from_millis(15);

/// The pause between two entries of a member, and how long one that is down stays in the list.
const ENTRY_GAP: Duration = Duration::from_millis(150);
const ENTRY_LIFE: Duration = Duration::from_millis(1200);

/// The pause between two looks, and how many are made before a run counts as stuck.
const LOOK_GAP: Duration = Duration::from_millis(50);
const LOOKS_MAX: u32 = 600;

/// The most time for one probe: a process that stands still accepts connections and answers none.
const PROBE_LIMIT: Duration = Duration::from_secs(5);

/// Counts probes, so that each has an id of its own.
static PROBES: AtomicU64 = AtomicU64::new(0);

struct Seat {
    seat: LineSeat,
    files: ProcessFiles,
    process: Mutex<Option<SoakProcess>>,
    store_link: LinkStandin,
}

/// Programs, links, store and group of one run.
pub(crate) struct SoakWorld {
    pub(crate) fleet: LineFleet,
    seats: Vec<Seat>,
    member_links: Vec<LinkStandin>,
    leaving: Mutex<Option<String>>,
    settings: AtomicU64,
    keep: AtomicBool,
    publisher: Mutex<Option<JoinHandle<()>>>,
}

impl SoakWorld {
    pub(crate) async fn start(seed: u64, instances: usize) -> Arc<Self> {
        let fleet = LineFleet::start(SERVICE, USUAL_LAG).await.expect("store and group start");
        fleet.set_accounts(accounts());
        let mut member_links = Vec::new();
        for member in fleet.group.members() {
            member_links.push(link_to(member.address).await);
        }
        let mut seats = Vec::new();
        for number in 0..instances {
            let seat = LineFleet::seat(number);
            let files = ProcessFiles::new(seed, &seat);
            let store_link = link_to(fleet.store.address()).await;
            let boot = fleet.boot_text(&seat, store_link.address());
            std::fs::write(&files.settings, boot).expect("a settings file is written");
            let process = Mutex::new(Some(SoakProcess::start(&files)));
            seats.push(Seat { seat, files, process, store_link });
        }
        let world = Arc::new(Self {
            fleet,
            seats,
            member_links,
            leaving: Mutex::default(),
            settings: AtomicU64::new(0),
            keep: AtomicBool::new(false),
            publisher: Mutex::default(),
        });
        world.change_settings();
        let publisher = tokio::spawn(publish_members(Arc::downgrade(&world)));
        *lock(&world.publisher) = Some(publisher);
        world
    }

    /// Where the instances listen for callers.
    pub(crate) fn addresses(&self) -> Vec<std::net::SocketAddr> {
        self.seats.iter().map(|seat| seat.seat.callers).collect()
    }

    /// Keeps the logs of the programs.
    pub(crate) fn keep_logs(&self) {
        self.keep.store(true, Ordering::Relaxed);
        for seat in &self.seats {
            println!("log kept: {}", seat.files.log.display());
        }
    }

    fn change_settings(&self) {
        let version = self.settings.fetch_add(3, Ordering::Relaxed) + 3;
        let database =
            |name: &str, kind| LineDatabase { name: name.to_owned(), kind, public: false };
        self.fleet.publish_settings(
            version,
            &[
                database(STRICT, LineKind::Strict),
                database(BOUNDED, LineKind::Bounded),
                database(OWN, LineKind::OwnWrites),
                database(&format!("db-{version}"), LineKind::Strict),
            ],
        );
    }

    /// Carries the plan out; faults overlap.
    pub(crate) async fn play(self: &Arc<Self>, plan: &SoakPlan) {
        let started_at = Instant::now();
        let mut running = tokio::task::JoinSet::new();
        for fault in &plan.faults {
            tokio::time::sleep(fault.at.saturating_sub(started_at.elapsed())).await;
            running.spawn(carry_out(Arc::clone(self), *fault));
        }
        while let Some(ended) = running.join_next().await {
            ended.expect("a fault is carried out");
        }
    }

    /// Ends all faults, and starts what does not run.
    pub(crate) async fn heal(&self) {
        self.fleet.store.set_fault(ObjectsFault::None);
        self.fleet.group.set_lag(USUAL_LAG);
        *lock(&self.leaving) = None;
        for (index, link) in self.member_links.iter().enumerate() {
            self.fleet.group.resume(index);
            heal_link(link);
        }
        for seat in &self.seats {
            heal_link(&seat.store_link);
            signal(seat, ProcessSignal::Resume);
            start_again_if_ended(seat).await;
        }
    }

    /// Waits until each instance takes a write and serves each kind of read.
    pub(crate) async fn await_served(&self) {
        for seat in &self.seats {
            for database in [STRICT, BOUNDED, OWN] {
                self.await_database(seat, database).await;
            }
        }
    }

    async fn await_database(&self, seat: &Seat, database: &str) {
        for _ in 0..LOOKS_MAX {
            if serves(seat, database).await {
                return;
            }
            tokio::time::sleep(LOOK_GAP).await;
        }
        self.keep_logs();
        panic!("{} does not serve {database}", seat.seat.number);
    }
}

impl Drop for SoakWorld {
    fn drop(&mut self) {
        if let Some(publisher) = lock(&self.publisher).take() {
            publisher.abort();
        }
        for seat in &self.seats {
            *lock(&seat.process) = None;
            if !self.keep.load(Ordering::Relaxed) {
                // A file that is gone already needs no removal.
                let _ = std::fs::remove_file(&seat.files.log);
                let _ = std::fs::remove_file(&seat.files.settings);
            }
        }
    }
}

/// Whether an instance takes a write and serves a read of a database.
async fn serves(seat: &Seat, database: &str) -> bool {
    tokio::time::timeout(PROBE_LIMIT, probe(seat, database)).await.unwrap_or(false)
}

async fn probe(seat: &Seat, database: &str) -> bool {
    let Ok((mut client, line)) =
        LineClient::connect(seat.seat.callers, &format!("{database} probe")).await
    else {
        return false;
    };
    if !line.starts_with("READY") {
        return false;
    }
    let id = format!("probe{}", PROBES.fetch_add(1, Ordering::Relaxed));
    let text = format!("WRITE {id} probed");
    let written = matches!(client.query(&id, &text).await, Ok(reply) if reply.is_done());
    written && matches!(client.query(&id, "READ nothing").await, Ok(reply) if reply.is_done())
}

async fn link_to(target: std::net::SocketAddr) -> LinkStandin {
    LinkStandin::start(&LinkSettings::loopback(target)).await.expect("a link starts")
}

fn heal_link(link: &LinkStandin) {
    link.heal();
    link.set_delay(Duration::ZERO, Duration::ZERO);
}

fn signal(seat: &Seat, signal: ProcessSignal) {
    if let Some(process) = lock(&seat.process).as_mut() {
        process.signal(signal);
    }
}

/// Starts a new process once one that was told to stop has ended, or where none runs.
async fn start_again_if_ended(seat: &Seat) {
    for _ in 0..LOOKS_MAX {
        {
            let mut process = lock(&seat.process);
            let ended = process.as_mut().is_none_or(SoakProcess::has_ended);
            if ended {
                *process = Some(SoakProcess::start(&seat.files));
            }
            if process.as_ref().is_some_and(|process| !process.is_stopping()) {
                return;
            }
        }
        tokio::time::sleep(LOOK_GAP).await;
    }
}

async fn carry_out(world: Arc<SoakWorld>, timed: TimedSoakFault) {
    match timed.fault {
        SoakFault::Kill(index) => {
            let seat = &world.seats[index];
            *lock(&seat.process) = None;
            tokio::time::sleep(timed.length).await;
            lock(&seat.process).get_or_insert_with(|| SoakProcess::start(&seat.files));
        }
        SoakFault::Pause(index) => {
            signal(&world.seats[index], ProcessSignal::Pause);
            tokio::time::sleep(timed.length).await;
            signal(&world.seats[index], ProcessSignal::Resume);
        }
        SoakFault::Restart(index) => {
            signal(&world.seats[index], ProcessSignal::Terminate);
            tokio::time::sleep(timed.length).await;
            start_again_if_ended(&world.seats[index]).await;
        }
        SoakFault::Reload(index) => signal(&world.seats[index], ProcessSignal::Reload),
        SoakFault::StoreBusy => harm_store(&world, ObjectsFault::Busy, timed.length).await,
        SoakFault::StoreLosesAnswers => {
            harm_store(&world, ObjectsFault::LostWrites, timed.length).await;
        }
        SoakFault::StoreLink(index, harm) => {
            harm_link(&world.seats[index].store_link, harm, timed.length).await;
        }
        SoakFault::MemberLink(index, harm) => {
            harm_link(&world.member_links[index], harm, timed.length).await;
        }
        SoakFault::MemberDown(index) => {
            let group = &world.fleet.group;
            // A group that has lost two of three members serves nobody, and shows nothing.
            if (0..world.member_links.len()).all(|member| group.is_up(member)) {
                group.stop(index);
                tokio::time::sleep(timed.length).await;
                group.resume(index);
            }
        }
        SoakFault::PrimaryLeaves => {
            let members = world.fleet.group.members();
            let primary = members.into_iter().find(|member| member.is_primary);
            *lock(&world.leaving) = primary.map(|member| member.id);
            tokio::time::sleep(timed.length).await;
            *lock(&world.leaving) = None;
        }
        SoakFault::Lag(lag) => {
            world.fleet.group.set_lag(lag);
            tokio::time::sleep(timed.length).await;
            world.fleet.group.set_lag(USUAL_LAG);
        }
        SoakFault::SettingsChange => world.change_settings(),
    }
}

async fn harm_store(world: &SoakWorld, fault: ObjectsFault, length: Duration) {
    world.fleet.store.set_fault(fault);
    tokio::time::sleep(length).await;
    world.fleet.store.set_fault(ObjectsFault::None);
}

async fn harm_link(link: &LinkStandin, harm: LinkHarm, length: Duration) {
    match harm {
        LinkHarm::Silent => link.cut(),
        LinkHarm::NoAnswers => link.set_fault(LinkDirection::Backward, LinkFault::Swallow),
        LinkHarm::Held => {
            link.set_fault(LinkDirection::Forward, LinkFault::Hold);
            link.set_fault(LinkDirection::Backward, LinkFault::Hold);
        }
        LinkHarm::Reset => link.reset(),
        LinkHarm::Slow(delay) => link.set_delay(delay, delay / 4),
    }
    tokio::time::sleep(length).await;
    heal_link(link);
}

/// Writes the members' entries as they would; one that is down drops out after a while.
async fn publish_members(world: std::sync::Weak<SoakWorld>) {
    let mut seen = [Instant::now(); 3];
    loop {
        tokio::time::sleep(ENTRY_GAP).await;
        let Some(world) = world.upgrade() else { return };
        let leaving = lock(&world.leaving).clone();
        for (number, member) in world.fleet.group.members().into_iter().enumerate() {
            if world.fleet.group.is_up(number) {
                seen[number] = Instant::now();
                let address = world.member_links[number].address();
                let leaving = leaving.as_ref() == Some(&member.id);
                let entry = LineEntry { number, member, address, leaving };
                world.fleet.publish_members(&[entry]);
            } else if seen[number].elapsed() > ENTRY_LIFE {
                world.fleet.store.remove("servers", &member.id);
            }
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
