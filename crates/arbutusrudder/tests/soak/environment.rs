//! Processes, links, store and group of a soak run, and the injection of faults into them.

use super::faults::{LinkFailure, SoakFault, SoakPlan, TimedSoakFault};
use super::process::{ProcessFiles, ProcessSignal, SoakProcess};
use rudder_standins::{
    LineAccount, LineClient, LineConsistency, LineDatabase, LineEntry, LineFleet, LineGroup,
    LineSlot, LinkDirection, LinkFault, LinkSettings, LinkStandin, ObjectsFault,
};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

const SERVICE: &str = "records";

/// Databases, one for each kind of read consistency.
pub(crate) const STRICT: &str = "db-strict";
pub(crate) const BOUNDED: &str = "db-bounded";
pub(crate) const OWN: &str = "db-own";

/// Number of client accounts, more than there are callers, each of which uses one.
const ACCOUNTS: usize = 64;

/// Rate limit (operations a second) and burst of every second account, below the rate at which its
/// caller sends.
pub(crate) const ACCOUNT_LIMIT: (u32, u32) = (5, 5);

/// Returns the account of a caller, whose API key is the caller's name.
pub(crate) fn account_of(caller: &str) -> String {
    format!("account-{caller}")
}

/// Whether a caller's account has a rate limit.
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

/// Replication lag without faults.
const DEFAULT_LAG: Duration = Duration::from_millis(15);

/// Time between a promotion order and its effect.
const PROMOTION_TIME: Duration = Duration::from_millis(1000);

/// Shortest and longest outage of a primary whose promoter is killed: the order is sent before its
/// end, and takes effect afterwards.
const PROMOTER_OUTAGE: (Duration, Duration) =
    (Duration::from_millis(700), Duration::from_millis(1300));

/// Time after which a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Time for which a replica that starts again is down.
const REBIRTH_TIME: Duration = Duration::from_millis(300);

/// Time from the loss of a primary until its change has begun.
const CHANGE_TIME: Duration = Duration::from_millis(1300);

/// Interval of a member's registrations, and the time after which a stopped member is removed.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(150);
const REGISTRATION_EXPIRY: Duration = Duration::from_millis(1200);

/// Interval of polls, and the number of polls after which a run fails as stuck.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const POLLS_MAX: u32 = 600;

/// Timeout of a probe: a suspended process accepts connections but does not reply.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of probes so far, for unique probe ids.
static PROBES: AtomicU64 = AtomicU64::new(0);

struct SoakInstance {
    slot: LineSlot,
    files: ProcessFiles,
    process: Mutex<Option<SoakProcess>>,
    store_link: LinkStandin,
}

/// Processes, links, store and group of a run.
pub(crate) struct SoakEnvironment {
    pub(crate) fleet: LineFleet,
    instances: Vec<SoakInstance>,
    member_links: Vec<LinkStandin>,
    leaving: Mutex<Option<String>>,
    /// Members that cannot reach the store.
    unlisted: Mutex<Vec<usize>>,
    settings_version: AtomicU64,
    keep_logs_on_drop: AtomicBool,
    publisher: Mutex<Option<JoinHandle<()>>>,
}

impl SoakEnvironment {
    pub(crate) async fn start(seed: u64, instance_count: usize, sync_replicas: usize) -> Arc<Self> {
        let fleet = LineFleet::start(SERVICE, DEFAULT_LAG).await.expect("store and group start");
        fleet.set_accounts(accounts());
        fleet.group.set_promotion_time(PROMOTION_TIME);
        fleet.group.set_sync_replicas(sync_replicas);
        let mut member_links = Vec::new();
        for member in fleet.group.members() {
            member_links.push(link_to(member.address).await);
        }
        let mut instances = Vec::new();
        for number in 0..instance_count {
            let slot = LineFleet::instance_slot(number);
            let files = ProcessFiles::new(seed, &slot);
            let store_link = link_to(fleet.store.address()).await;
            let boot = fleet.boot_text(&slot, store_link.address());
            std::fs::write(&files.settings, boot).expect("a settings file is written");
            let process = Mutex::new(Some(SoakProcess::start(&files)));
            instances.push(SoakInstance { slot, files, process, store_link });
        }
        let environment = Arc::new(Self {
            fleet,
            instances,
            member_links,
            leaving: Mutex::default(),
            unlisted: Mutex::default(),
            settings_version: AtomicU64::new(0),
            keep_logs_on_drop: AtomicBool::new(false),
            publisher: Mutex::default(),
        });
        environment.change_settings();
        let publisher = tokio::spawn(publish_members(Arc::downgrade(&environment)));
        *lock(&environment.publisher) = Some(publisher);
        environment
    }

    /// Returns the addresses at which the instances accept callers.
    pub(crate) fn addresses(&self) -> Vec<std::net::SocketAddr> {
        self.instances.iter().map(|instance| instance.slot.callers).collect()
    }

    /// Returns the greatest resident memory of a running process in bytes.
    pub(crate) fn peak_memory(&self) -> u64 {
        let peak = |instance: &SoakInstance| lock(&instance.process).as_ref()?.peak_memory();
        self.instances.iter().filter_map(peak).max().unwrap_or(0)
    }

    /// Keeps the logs of the processes and prints their paths.
    pub(crate) fn keep_logs(&self) {
        self.keep_logs_on_drop.store(true, Ordering::Relaxed);
        for instance in &self.instances {
            println!("log kept: {}", instance.files.log.display());
        }
    }

    fn change_settings(&self) {
        let version = self.settings_version.fetch_add(3, Ordering::Relaxed) + 3;
        let database = |name: &str, consistency| LineDatabase {
            name: name.to_owned(),
            consistency,
            public: false,
        };
        self.fleet.publish_settings(
            version,
            &[
                database(STRICT, LineConsistency::Strict),
                database(BOUNDED, LineConsistency::Bounded),
                database(OWN, LineConsistency::OwnWrites),
                database(&format!("db-{version}"), LineConsistency::Strict),
            ],
        );
    }

    /// Injects the faults of the plan, which may overlap.
    pub(crate) async fn run(self: &Arc<Self>, plan: &SoakPlan) {
        let started_at = Instant::now();
        let mut running = tokio::task::JoinSet::new();
        for fault in &plan.faults {
            tokio::time::sleep(fault.at.saturating_sub(started_at.elapsed())).await;
            running.spawn(inject_fault(Arc::clone(self), *fault));
        }
        while let Some(ended) = running.join_next().await {
            ended.expect("a fault is carried out");
        }
    }

    /// Ends all faults and starts processes that are not running.
    pub(crate) async fn restore(&self) {
        self.fleet.store.set_fault(ObjectsFault::None);
        self.fleet.group.set_lag(DEFAULT_LAG);
        *lock(&self.leaving) = None;
        lock(&self.unlisted).clear();
        for (index, link) in self.member_links.iter().enumerate() {
            self.fleet.group.resume(index);
            self.fleet.group.set_deaf(index, false);
            restore_link(link);
        }
        for instance in &self.instances {
            restore_link(&instance.store_link);
            signal(instance, ProcessSignal::Resume);
            restart_if_ended(instance).await;
        }
    }

    /// Waits until each instance accepts a write and serves each kind of read.
    pub(crate) async fn await_serving(&self) {
        for instance in &self.instances {
            for database in [STRICT, BOUNDED, OWN] {
                self.await_database(instance, database).await;
            }
        }
    }

    async fn await_database(&self, instance: &SoakInstance, database: &str) {
        for _ in 0..POLLS_MAX {
            if serves(instance, database).await {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.keep_logs();
        panic!("{} does not serve {database}", instance.slot.number);
    }
}

impl Drop for SoakEnvironment {
    fn drop(&mut self) {
        if let Some(publisher) = lock(&self.publisher).take() {
            publisher.abort();
        }
        for instance in &self.instances {
            *lock(&instance.process) = None;
            if !self.keep_logs_on_drop.load(Ordering::Relaxed) {
                // Removal fails only if the file does not exist.
                let _ = std::fs::remove_file(&instance.files.log);
                let _ = std::fs::remove_file(&instance.files.settings);
            }
        }
    }
}

/// Whether an instance accepts a write to and serves a read of a database.
async fn serves(instance: &SoakInstance, database: &str) -> bool {
    tokio::time::timeout(PROBE_TIMEOUT, probe(instance, database)).await.unwrap_or(false)
}

async fn probe(instance: &SoakInstance, database: &str) -> bool {
    let Ok((mut client, line)) =
        LineClient::connect(instance.slot.callers, &format!("{database} probe")).await
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

fn restore_link(link: &LinkStandin) {
    link.heal();
    link.set_delay(Duration::ZERO, Duration::ZERO);
}

fn signal(instance: &SoakInstance, signal: ProcessSignal) {
    if let Some(process) = lock(&instance.process).as_mut() {
        process.signal(signal);
    }
}

/// Starts a new process if none is running, after a terminated one has exited.
async fn restart_if_ended(instance: &SoakInstance) {
    for _ in 0..POLLS_MAX {
        {
            let mut process = lock(&instance.process);
            let ended = process.as_mut().is_none_or(SoakProcess::has_ended);
            if ended {
                *process = Some(SoakProcess::start(&instance.files));
            }
            if process.as_ref().is_some_and(|process| !process.is_stopping()) {
                return;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn inject_fault(environment: Arc<SoakEnvironment>, timed: TimedSoakFault) {
    match timed.fault {
        SoakFault::Kill(index) => {
            let instance = &environment.instances[index];
            *lock(&instance.process) = None;
            tokio::time::sleep(timed.length).await;
            lock(&instance.process).get_or_insert_with(|| SoakProcess::start(&instance.files));
        }
        SoakFault::Pause(index) => {
            signal(&environment.instances[index], ProcessSignal::Pause);
            tokio::time::sleep(timed.length).await;
            signal(&environment.instances[index], ProcessSignal::Resume);
        }
        SoakFault::Restart(index) => {
            signal(&environment.instances[index], ProcessSignal::Terminate);
            tokio::time::sleep(timed.length).await;
            restart_if_ended(&environment.instances[index]).await;
        }
        SoakFault::Reload(index) => signal(&environment.instances[index], ProcessSignal::Reload),
        SoakFault::StoreBusy => fail_store(&environment, ObjectsFault::Busy, timed.length).await,
        SoakFault::StoreLosesReplies => {
            fail_store(&environment, ObjectsFault::LostWrites, timed.length).await;
        }
        SoakFault::StoreLink(index, failure) => {
            fail_link(&environment.instances[index].store_link, failure, timed.length).await;
        }
        SoakFault::MemberLink(index, failure) => {
            fail_link(&environment.member_links[index], failure, timed.length).await;
        }
        SoakFault::MemberDown(index) => {
            let group = &environment.fleet.group;
            // Without two of its three members, the group serves no requests, so nothing would be
            // tested.
            if (0..environment.member_links.len()).all(|member| group.is_up(member)) {
                group.stop(index);
                tokio::time::sleep(timed.length).await;
                group.resume(index);
            }
        }
        SoakFault::PromoterKilled => {
            let (shortest, longest) = PROMOTER_OUTAGE;
            kill_promoter(&environment, timed.length.clamp(shortest, longest)).await;
        }
        SoakFault::Deaf(index) => {
            environment.fleet.group.set_deaf(index, true);
            tokio::time::sleep(timed.length).await;
            environment.fleet.group.set_deaf(index, false);
        }
        SoakFault::MemberUnlisted(index) => {
            lock(&environment.unlisted).push(index);
            tokio::time::sleep(timed.length).await;
            lock(&environment.unlisted).retain(|member| *member != index);
        }
        SoakFault::MemberReborn(index) => {
            let group = &environment.fleet.group;
            if (0..environment.member_links.len()).all(|member| group.is_up(member)) {
                lock(&environment.unlisted).push(index);
                group.stop(index);
                tokio::time::sleep(REBIRTH_TIME).await;
                group.restart_empty(index);
                tokio::time::sleep(timed.length).await;
                lock(&environment.unlisted).retain(|member| *member != index);
            }
        }
        SoakFault::AllKilledInChange => kill_all_in_change(&environment, timed.length).await,
        SoakFault::PrimaryLeaves => {
            let members = environment.fleet.group.members();
            let primary = members.into_iter().find(|member| member.is_primary);
            *lock(&environment.leaving) = primary.map(|member| member.id);
            tokio::time::sleep(timed.length).await;
            *lock(&environment.leaving) = None;
        }
        SoakFault::Lag(lag) => {
            environment.fleet.group.set_lag(lag);
            tokio::time::sleep(timed.length).await;
            environment.fleet.group.set_lag(DEFAULT_LAG);
        }
        SoakFault::SettingsChange => environment.change_settings(),
    }
}

/// Stops the primary, if all members run. Returns its index.
fn stop_primary(group: &LineGroup) -> Option<usize> {
    let members = group.members();
    let all_run = (0..members.len()).all(|member| group.is_up(member));
    let primary = members.iter().position(|member| member.is_primary).filter(|_| all_run)?;
    group.stop(primary);
    Some(primary)
}

/// Stops the primary for a time, and kills the process that orders its successor meanwhile or soon
/// after.
async fn kill_promoter(environment: &SoakEnvironment, length: Duration) {
    let group = &environment.fleet.group;
    let Some(primary) = stop_primary(group) else { return };
    let outage = async {
        tokio::time::sleep(length).await;
        group.resume(primary);
    };
    let kill = async {
        let order = tokio::time::timeout(length + PROMOTION_TIME, environment.fleet.next_order());
        let Ok(order) = order.await else { return };
        let is_holder = |instance: &&SoakInstance| instance.slot.name() == order.holder;
        let Some(holder) = environment.instances.iter().find(is_holder) else { return };
        *lock(&holder.process) = None;
        tokio::time::sleep(RESTART_DELAY).await;
        lock(&holder.process).get_or_insert_with(|| SoakProcess::start(&holder.files));
    };
    tokio::join!(outage, kill);
}

/// Stops the primary for a time, and kills all processes soon after, while it is being changed.
async fn kill_all_in_change(environment: &SoakEnvironment, length: Duration) {
    let group = &environment.fleet.group;
    let Some(primary) = stop_primary(group) else { return };
    tokio::time::sleep(CHANGE_TIME).await;
    for instance in &environment.instances {
        *lock(&instance.process) = None;
    }
    tokio::time::sleep(RESTART_DELAY).await;
    for instance in &environment.instances {
        lock(&instance.process).get_or_insert_with(|| SoakProcess::start(&instance.files));
    }
    tokio::time::sleep(length).await;
    group.resume(primary);
}

async fn fail_store(environment: &SoakEnvironment, fault: ObjectsFault, length: Duration) {
    environment.fleet.store.set_fault(fault);
    tokio::time::sleep(length).await;
    environment.fleet.store.set_fault(ObjectsFault::None);
}

async fn fail_link(link: &LinkStandin, failure: LinkFailure, length: Duration) {
    match failure {
        LinkFailure::Silent => link.cut(),
        LinkFailure::NoReplies => link.set_fault(LinkDirection::Backward, LinkFault::Drop),
        LinkFailure::Held => {
            link.set_fault(LinkDirection::Forward, LinkFault::Hold);
            link.set_fault(LinkDirection::Backward, LinkFault::Hold);
        }
        LinkFailure::Reset => link.reset(),
        LinkFailure::Slow(delay) => link.set_delay(delay, delay / 4),
    }
    tokio::time::sleep(length).await;
    restore_link(link);
}

/// Publishes the members' registrations on their behalf and removes a member that has been down for
/// [`REGISTRATION_EXPIRY`].
async fn publish_members(environment: std::sync::Weak<SoakEnvironment>) {
    let mut last_up = [Instant::now(); 3];
    loop {
        tokio::time::sleep(REGISTRATION_INTERVAL).await;
        let Some(environment) = environment.upgrade() else { return };
        let leaving = lock(&environment.leaving).clone();
        for (number, member) in environment.fleet.group.members().into_iter().enumerate() {
            let is_cut = lock(&environment.unlisted).contains(&number);
            if environment.fleet.group.is_up(number) && !is_cut {
                last_up[number] = Instant::now();
                let address = environment.member_links[number].address();
                let leaving = leaving.as_ref() == Some(&member.id);
                let entry = LineEntry { number, member, address, leaving };
                environment.fleet.publish_members(&[entry]);
            } else if last_up[number].elapsed() > REGISTRATION_EXPIRY {
                environment.fleet.store.remove("servers", &member.id);
            }
        }
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
