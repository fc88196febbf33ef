//! A process on the users' platform with stand-ins for its store and members.

use super::line_client::DATABASE;
use super::memory::{MACHINE_DESCRIPTORS, MACHINE_MEMORY, MemoryWatch};
use rudder_standins::{
    BOOT_VARIABLE, LineClient, LineConsistency, LineDatabase, LineEntry, LineFleet, LineSlot,
};
use serde_json::json;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_arbutusrudder");

/// Interval of polls, and the number of polls after which a test fails.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const POLLS_MAX: u32 = 400;

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// One process with the limits of its machine, its store and a group of three members.
pub(crate) struct LineEnvironment {
    _fleet: LineFleet,
    slot: LineSlot,
    settings: PathBuf,
    process: Child,
    pub(crate) watch: MemoryWatch,
}

impl LineEnvironment {
    /// Starts the process and waits until it serves.
    pub(crate) async fn start() -> Self {
        Self::start_with_log(Stdio::null()).await
    }

    /// Starts a process whose standard output nobody reads.
    pub(crate) async fn start_with_unread_log() -> Self {
        Self::start_with_log(Stdio::piped()).await
    }

    async fn start_with_log(log: Stdio) -> Self {
        let fleet = LineFleet::start("records", Duration::ZERO).await.expect("the fleet starts");
        let consistency = LineConsistency::Bounded;
        let database = LineDatabase { name: DATABASE.to_owned(), consistency, public: false };
        fleet.publish_settings(1, &[database]);
        publish_members(&fleet);
        let slot = LineFleet::instance_slot(0);
        let settings = write_settings(&fleet, &slot);
        let process = start_process(&settings, log);
        let addresses = vec![slot.callers, ready_address(&slot)];
        let watch = MemoryWatch::start(process.id(), addresses);
        let environment = Self { _fleet: fleet, slot, settings, process, watch };
        environment.await_served().await;
        environment
    }

    /// Address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.slot.callers
    }

    /// Address of the readiness page.
    pub(crate) fn ready(&self) -> SocketAddr {
        ready_address(&self.slot)
    }

    /// Fails unless the process still runs and serves a new caller's message, which is sent again
    /// while the reply says that it was not run.
    pub(crate) async fn assert_serves(&mut self, text: &str) {
        let ended = self.process.try_wait().expect("the child can be waited for");
        assert!(ended.is_none(), "the process ended: {ended:?}");
        let served = probe(self.slot.callers, text).await;
        assert!(served, "a message of {} bytes was not served in calm", text.len());
    }

    async fn await_served(&self) {
        for _ in 0..POLLS_MAX {
            if probe(self.slot.callers, "WRITE probe served").await {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the process never served");
    }
}

impl Drop for LineEnvironment {
    fn drop(&mut self) {
        // Each fails only if the process or the file is gone.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn publish_members(fleet: &LineFleet) {
    let entry = |(number, member): (usize, rudder_standins::LineMember)| LineEntry {
        number,
        address: member.address,
        leaving: false,
        member,
    };
    let entries: Vec<_> = fleet.group.members().into_iter().enumerate().map(entry).collect();
    fleet.publish_members(&entries);
}

/// Writes the settings file with the limits of the machine.
fn write_settings(fleet: &LineFleet, slot: &LineSlot) -> PathBuf {
    let boot = fleet.boot_text(slot, fleet.store.address());
    let mut boot: serde_json::Value = serde_json::from_str(&boot).expect("the text is JSON");
    let memory_mb = MACHINE_MEMORY / 1_000_000;
    boot["limits"] = json!({"memoryMb": memory_mb, "maxFds": MACHINE_DESCRIPTORS});
    let name = format!("rudder-clients-{}-{}.json", std::process::id(), slot.callers.ip());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, boot.to_string()).expect("a settings file is written");
    path
}

/// Starts the program with the descriptors of its machine.
fn start_process(settings: &PathBuf, log: Stdio) -> Child {
    let limited = format!("ulimit -n {MACHINE_DESCRIPTORS} && exec \"$0\" --platform");
    let mut command = Command::new("sh");
    command.args(["-c", &limited, PROGRAM]).env(BOOT_VARIABLE, settings);
    command.stdout(log).spawn().expect("the program starts")
}

fn ready_address(slot: &LineSlot) -> SocketAddr {
    SocketAddr::new(slot.callers.ip(), slot.callers.port() + 1)
}

/// Whether a new session's query is served.
async fn probe(address: SocketAddr, text: &str) -> bool {
    let run = async {
        let (mut client, line) = LineClient::connect(address, &format!("{DATABASE} probe")).await?;
        loop {
            let reply = client.query("probe", text).await?;
            if reply.code() != "BUSY" {
                return Ok::<_, std::io::Error>(line.starts_with("READY") && reply.is_done());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    matches!(tokio::time::timeout(PROBE_TIMEOUT, run).await, Ok(Ok(true)))
}
