//! The cases.

use crate::Verdict;
use crate::client::{ask, next_id, run_session};
use crate::fleet::Fleet;
use crate::group::{Group, State};
use rudder_standins::LineClient;
use serde_json::{Value, json};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Time within which all instances must serve a write at the start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Sessions at each instance.
const SESSIONS: usize = 2;

fn route(host: &str, kind: &str) -> Value {
    json!({
        "name": format!("r-{host}"), "host": host, "type": kind, "service": "records-db",
        "timeoutMs": 800, "targetLatencyMs": 600, "priority": 1, "maxStalenessMs": 1500,
    })
}

/// Waits until each instance has served a write.
async fn wait_serving(fleet: &Fleet, database: &str) -> bool {
    let until = Instant::now() + START_LIMIT;
    for process in &fleet.processes {
        loop {
            if Instant::now() > until {
                return false;
            }
            if probe(&fleet.group, process.callers, database).await {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }
    true
}

async fn probe(group: &Group, address: std::net::SocketAddr, database: &str) -> bool {
    let startup = format!("{database} key-probe");
    let connect = LineClient::connect(address, &startup);
    let Ok(Ok((mut client, line))) = tokio::time::timeout(Duration::from_secs(2), connect).await
    else {
        return false;
    };
    if !line.starts_with("READY") {
        return false;
    }
    let id = next_id("p");
    let reply = ask(group, &mut client, &id, &format!("WRITE probe v{id}")).await;
    reply.is_some_and(|reply| reply.is_done())
}

/// Sessions that run until they are stopped.
struct Load {
    writes: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet, database: &str, pause: Duration) -> Self {
        let writes = Arc::new(AtomicBool::new(true));
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = Vec::new();
        for (index, process) in fleet.processes.iter().enumerate() {
            for session in 0..SESSIONS {
                tasks.push(tokio::spawn(run_session(
                    fleet.group.clone(),
                    process.callers,
                    database.to_owned(),
                    index * SESSIONS + session,
                    pause,
                    Arc::clone(&writes),
                    Arc::clone(&stop),
                )));
            }
        }
        Self { writes, stop, tasks }
    }

    async fn end(self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

fn save(group: &Group, record: &Path) {
    let text = group.lock().record.join("\n") + "\n";
    if let Err(error) = std::fs::write(record, text) {
        eprintln!("the record was not written: {error}");
    }
}

/// Waits until a condition holds.
async fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// The primary is partitioned, another member is promoted, and that one and the remaining replica
/// crash. Then the partition heals, and the old primary is the only member that responds.
pub async fn old_primary(files: &Path, record: &Path, trouble: bool) -> Verdict {
    let routes = json!([route("db-primary", "primary")]);
    let mut fleet = match Fleet::start(files, 0, routes).await {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    let group = fleet.group.clone();
    if !wait_serving(&fleet, "db-primary").await {
        save(&group, record);
        return Verdict::NotRun("the instances do not serve".to_owned());
    }
    let load = Load::start(&fleet, "db-primary", Duration::from_millis(40));
    tokio::time::sleep(Duration::from_secs(6)).await;
    let mut healed_at = Instant::now();
    if trouble {
        let cut_at = Instant::now();
        let fronts: Vec<String> =
            fleet.processes.iter().take(2).map(|process| process.name.clone()).collect();
        let fronts: Vec<&str> = fronts.iter().map(String::as_str).collect();
        group.cut(0, &fronts);
        if !wait_until(Duration::from_secs(6), || !group.lock().promotions.is_empty()).await {
            save(&group, record);
            return Verdict::NotRun("no member was promoted in time".to_owned());
        }
        let promoted = group.lock().leader;
        // Some commits are acknowledged by the new primary.
        let count = || {
            let state = group.lock();
            let of_new = state.commits.iter().filter(|commit| commit.member == promoted);
            of_new.filter(|commit| state.acked.contains_key(&commit.id)).count()
        };
        if !wait_until(Duration::from_millis(2500), || count() >= 20).await {
            save(&group, record);
            return Verdict::NotRun("the new primary acknowledged nothing".to_owned());
        }
        // The last commits reach the replica, so that it lacks nothing.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let others: Vec<usize> = (1..3).collect();
        let crashed_at = Instant::now();
        for index in &others {
            group.crash(*index);
        }
        tokio::time::sleep(Duration::from_millis(1000)).await;
        group.heal(0);
        healed_at = Instant::now();
        group.note(format!("the partition lasted {:?}", cut_at.elapsed()));
        tokio::time::sleep_until((crashed_at + Duration::from_millis(5000)).into()).await;
        let replica = others.iter().copied().find(|index| *index != promoted).unwrap_or(1);
        group.restart(replica);
        tokio::time::sleep_until((crashed_at + Duration::from_millis(8000)).into()).await;
        group.restart(promoted);
        tokio::time::sleep(Duration::from_secs(6)).await;
    } else {
        tokio::time::sleep(Duration::from_secs(12)).await;
    }
    load.writes.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;
    load.end().await;
    for process in &mut fleet.processes {
        process.kill();
    }
    let verdict = judge_old_primary(&group, healed_at);
    save(&group, record);
    verdict
}

/// Reads that were answered from a log without commits that had been acknowledged before they were
/// sent, and that no promotion has rolled back for good.
fn stale_reads(state: &State) -> Vec<(String, usize)> {
    let lacking = |missing: &Vec<String>| {
        missing.iter().filter(|id| !state.rolled_back.contains(*id)).count()
    };
    let reads = state.answered_reads.iter().map(|(id, _, missing)| (id.clone(), lacking(missing)));
    reads.filter(|(_, count)| *count > 0).collect()
}

/// ONE: a write is committed at the old primary after a promote has taken effect, and acknowledged.
/// STALE: a read runs on a log that lacks a commit which was acknowledged before it was sent, and
/// which no promote rolled back.
fn judge_old_primary(group: &Group, healed_at: Instant) -> Verdict {
    // The links of the old primary were disrupted until then: `thawMs` and a second more.
    let from = healed_at + Duration::from_millis(1300);
    let mut state = group.lock();
    let late = state.commits.iter().filter(|commit| commit.superseded && commit.at > from);
    let one: Vec<String> = late
        .filter(|commit| state.acked.contains_key(&commit.id))
        .map(|commit| commit.id.clone())
        .collect();
    let stale = stale_reads(&state);
    let text = format!(
        "{} acknowledged writes committed at the superseded primary after the promote (first {:?}); \
         {} reads answered from a log that lacked acknowledged commits (first {:?}); \
         {} promotions, {} writes acknowledged",
        one.len(),
        one.first(),
        stale.len(),
        stale.first(),
        state.promotions.len(),
        state.acked.len(),
    );
    state.note(format!("verdict: {text}"));
    if one.is_empty() && stale.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}

/// A service with one synchronous replica. The primary crashes, the replica that received its last
/// commits is lost for good, and some seconds later the processes of the system are killed and start
/// again. The other replica lacks acknowledged commits and must not be promoted.
pub async fn forgotten_replica(files: &Path, record: &Path, trouble: bool) -> Verdict {
    let routes = json!([route("db-primary", "primary")]);
    let mut fleet = match Fleet::start(files, 1, routes).await {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    let group = fleet.group.clone();
    // One replica is nearer to the primary than the other.
    group.lock().members[1].lag = Duration::from_millis(5);
    if !wait_serving(&fleet, "db-primary").await {
        save(&group, record);
        return Verdict::NotRun("the instances do not serve".to_owned());
    }
    let load = Load::start(&fleet, "db-primary", Duration::from_millis(20));
    tokio::time::sleep(Duration::from_secs(6)).await;
    if trouble {
        let crashed_at = Instant::now();
        {
            let mut state = group.lock();
            state.members[1].gone = true;
        }
        group.crash(0);
        group.crash(1);
        // Its entry is removed after three intervals of silence, and the instances learn of it.
        let name = group.lock().members[1].id.clone();
        let store = fleet.store.clone();
        let removed = || store.get("servers", &name).is_none();
        if !wait_until(Duration::from_secs(6), removed).await {
            save(&group, record);
            return Verdict::NotRun("the entry of the lost member was not removed".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        // For a comparison, the members' trouble can be run alone.
        if std::env::var("KILL").map_or(true, |value| value != "0") {
            group.note("trouble: all processes of the system are killed");
            for process in &mut fleet.processes {
                process.kill();
            }
            tokio::time::sleep(Duration::from_millis(600)).await;
            for process in &mut fleet.processes {
                if let Err(error) = process.start() {
                    return Verdict::NotRun(error.to_string());
                }
            }
            group.note("trouble ends: the processes start again");
        }
        tokio::time::sleep_until((crashed_at + Duration::from_millis(8000)).into()).await;
        group.restart(0);
        tokio::time::sleep(Duration::from_secs(8)).await;
    } else {
        tokio::time::sleep(Duration::from_secs(12)).await;
    }
    load.end().await;
    for process in &mut fleet.processes {
        process.kill();
    }
    let verdict = judge_lost(&group);
    save(&group, record);
    verdict
}

/// LOST: where the service has `syncReplicas`, an acknowledged commit is not in the log of the member
/// that is promoted.
fn judge_lost(group: &Group) -> Verdict {
    let mut state = group.lock();
    let lost: Vec<String> = {
        let mut lost: Vec<String> =
            state.rolled_back.iter().filter(|id| state.acked.contains_key(*id)).cloned().collect();
        lost.sort();
        lost
    };
    let promotions: Vec<String> = state
        .promotions
        .iter()
        .map(|(_, index, term)| format!("{} in term {term}", state.members[*index].id))
        .collect();
    let text = format!(
        "{} acknowledged commits are not in the log of the member that was promoted (first {:?}); \
         promotions: {promotions:?}; {} writes acknowledged",
        lost.len(),
        lost.first(),
        state.acked.len(),
    );
    state.note(format!("verdict: {text}"));
    if lost.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}

/// A service with one synchronous replica. One replica receives nothing for a while; the other one
/// restarts behind a cut from the store, so that its entry there still is that of before, and has
/// received only a part of the log again when the primary crashes. The first replica lacks
/// acknowledged commits and must not be promoted.
pub async fn reborn_replica(files: &Path, record: &Path, trouble: bool) -> Verdict {
    let routes = json!([route("db-primary", "primary")]);
    let mut fleet = match Fleet::start(files, 1, routes).await {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    let group = fleet.group.clone();
    if !wait_serving(&fleet, "db-primary").await {
        save(&group, record);
        return Verdict::NotRun("the instances do not serve".to_owned());
    }
    let load = Load::start(&fleet, "db-primary", Duration::from_millis(40));
    tokio::time::sleep(Duration::from_secs(6)).await;
    if trouble {
        let began_at = Instant::now();
        group.set_deaf(2, true);
        // The other replica receives the commits that are acknowledged now.
        tokio::time::sleep(Duration::from_millis(1000)).await;
        let cut_at = Instant::now();
        group.cut_store(1, true);
        group.crash(1);
        tokio::time::sleep(Duration::from_millis(400)).await;
        group.restart_empty(1, 1);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let crashed_at = Instant::now();
        group.crash(0);
        tokio::time::sleep_until((cut_at + Duration::from_millis(4500)).into()).await;
        group.cut_store(1, false);
        tokio::time::sleep_until((began_at + Duration::from_millis(6500)).into()).await;
        group.set_deaf(2, false);
        tokio::time::sleep_until((crashed_at + Duration::from_millis(8000)).into()).await;
        group.restart(0);
        tokio::time::sleep(Duration::from_secs(8)).await;
    } else {
        tokio::time::sleep(Duration::from_secs(12)).await;
    }
    load.end().await;
    for process in &mut fleet.processes {
        process.kill();
    }
    let verdict = judge_lost(&group);
    save(&group, record);
    verdict
}

/// A service with one synchronous replica. The replica that acknowledges commits is cut from the store
/// alone, so that its entry is removed while it goes on receiving commits. Then the primary crashes. The
/// other replica lacks the last acknowledged commits and must not be promoted.
pub async fn unlisted_replica(files: &Path, record: &Path, trouble: bool) -> Verdict {
    let routes = json!([route("db-primary", "primary")]);
    let mut fleet = match Fleet::start(files, 1, routes).await {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    let group = fleet.group.clone();
    // One replica is nearer to the primary than the other.
    group.lock().members[1].lag = Duration::from_millis(5);
    if !wait_serving(&fleet, "db-primary").await {
        save(&group, record);
        return Verdict::NotRun("the instances do not serve".to_owned());
    }
    let load = Load::start(&fleet, "db-primary", Duration::from_millis(20));
    tokio::time::sleep(Duration::from_secs(6)).await;
    if trouble {
        let cut_at = Instant::now();
        group.cut_store(1, true);
        let name = group.lock().members[1].id.clone();
        let store = fleet.store.clone();
        let removed = || store.get("servers", &name).is_none();
        if !wait_until(Duration::from_secs(6), removed).await {
            save(&group, record);
            return Verdict::NotRun("the entry of the cut member was not removed".to_owned());
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let crashed_at = Instant::now();
        group.crash(0);
        tokio::time::sleep_until((cut_at + Duration::from_millis(5000)).into()).await;
        group.cut_store(1, false);
        tokio::time::sleep_until((crashed_at + Duration::from_millis(8000)).into()).await;
        group.restart(0);
        tokio::time::sleep(Duration::from_secs(6)).await;
    } else {
        tokio::time::sleep(Duration::from_secs(12)).await;
    }
    load.end().await;
    for process in &mut fleet.processes {
        process.kill();
    }
    let verdict = judge_lost(&group);
    save(&group, record);
    verdict
}

/// The replicas receive nothing for a while, and the primary crashes. A replica is promoted without its
/// last commits, serves, and crashes as well. The former primary is back with its log by then, and is
/// promoted for it, though another member has no commits that were rolled back.
pub async fn returned_commits(files: &Path, record: &Path, trouble: bool) -> Verdict {
    let routes = json!([route("db-primary", "primary")]);
    let mut fleet = match Fleet::start(files, 0, routes).await {
        Ok(fleet) => fleet,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    let group = fleet.group.clone();
    if !wait_serving(&fleet, "db-primary").await {
        save(&group, record);
        return Verdict::NotRun("the instances do not serve".to_owned());
    }
    let load = Load::start(&fleet, "db-primary", Duration::from_millis(40));
    tokio::time::sleep(Duration::from_secs(6)).await;
    if trouble {
        let deaf_at = Instant::now();
        group.set_deaf(1, true);
        group.set_deaf(2, true);
        tokio::time::sleep(Duration::from_millis(800)).await;
        let crashed_at = Instant::now();
        group.crash(0);
        if !wait_until(Duration::from_secs(5), || !group.lock().promotions.is_empty()).await {
            save(&group, record);
            return Verdict::NotRun("no member was promoted in time".to_owned());
        }
        let promoted = group.lock().leader;
        // The new primary serves for a while.
        tokio::time::sleep(Duration::from_millis(1500)).await;
        group.crash(promoted);
        let second_at = Instant::now();
        tokio::time::sleep(Duration::from_millis(100)).await;
        group.restart(0);
        group.note(format!("the first primary was down for {:?}", crashed_at.elapsed()));
        tokio::time::sleep_until((deaf_at + Duration::from_millis(6600)).into()).await;
        group.set_deaf(1, false);
        group.set_deaf(2, false);
        tokio::time::sleep_until((second_at + Duration::from_millis(8000)).into()).await;
        group.restart(promoted);
        tokio::time::sleep(Duration::from_secs(4)).await;
    } else {
        tokio::time::sleep(Duration::from_secs(12)).await;
    }
    load.end().await;
    for process in &mut fleet.processes {
        process.kill();
    }
    let verdict = judge_returned_commits(&group);
    save(&group, record);
    verdict
}

/// STALE, on a `primary` route: a read runs on a log that lacks any commit which was acknowledged before.
fn judge_returned_commits(group: &Group) -> Verdict {
    let mut state = group.lock();
    let stale = stale_reads(&state);
    let promotions: Vec<String> = state
        .promotions
        .iter()
        .map(|(_, index, term)| format!("{} in term {term}", state.members[*index].id))
        .collect();
    let text = format!(
        "{} reads answered from a log that lacked acknowledged commits that are kept (first {:?}); \
         promotions: {promotions:?}; {} writes acknowledged",
        stale.len(),
        stale.first(),
        state.acked.len(),
    );
    state.note(format!("verdict: {text}"));
    if stale.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}
