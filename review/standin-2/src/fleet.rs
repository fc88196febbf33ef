//! The platform's store, the members' entries in it, and the project's processes.

use crate::group::Group;
use rudder_standins::ObjectsStandin;
use serde_json::{Value, json};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Domains (zones) of the deployment, each a region of its own.
pub const DOMAINS: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Time of silence after which a member's entry is removed: three intervals of status reports.
const EXPIRY: Duration = Duration::from_millis(3600);
const PORT: u16 = 8784;

pub struct Process {
    pub name: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// The command of the deploy file.
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/arbutusrudder")
            .args(["--platform", "--log", "info", "--metrics-port", "9464"])
            .env("ARBUTUSRUDDER_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process at once (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Fleet {
    pub store: ObjectsStandin,
    pub group: Group,
    pub processes: Vec<Process>,
}

impl Fleet {
    /// Starts store, members and three instances.
    pub async fn start(folder: &Path, sync_replicas: u32, routes: Value) -> std::io::Result<Self> {
        let group = Group::start("records-db", &DOMAINS).await?;
        group.lock().sync = sync_replicas as usize;
        let ordered = group.clone();
        let store = ObjectsStandin::start(Arc::new(move |request| {
            ordered.order(&request.member, &request.holder, request.token)
        }))
        .await?;
        let config = json!({
            "version": 7, "routes": routes,
            "services": [
                {"name": "records-db", "maxConnections": 38, "syncReplicas": sync_replicas},
            ],
            "limits": {"txIdleMs": 3000},
        });
        store.put("config", "main", config);
        tokio::spawn(publish(group.clone(), store.clone()));
        let mut processes = Vec::new();
        let net = 10 + (std::process::id() % 240) as u8;
        for (index, domain) in DOMAINS.iter().enumerate() {
            let name = format!("frontend-{domain}-1");
            let ip = format!("127.{net}.{}.8", index + 1);
            let settings = folder.join(format!("{name}.json"));
            std::fs::write(&settings, boot(&name, domain, &ip, store.address()).to_string())?;
            let log = folder.join(format!("{name}.log"));
            let callers = format!("{ip}:{PORT}").parse().map_err(std::io::Error::other)?;
            let mut process = Process { name, callers, settings, log, child: None };
            process.start()?;
            processes.push(process);
        }
        Ok(Self { store, group, processes })
    }
}

/// Settings file of a process, with the bounds of a small installation.
fn boot(name: &str, domain: &str, ip: &str, platform: SocketAddr) -> Value {
    let zones: serde_json::Map<String, Value> =
        DOMAINS.iter().map(|zone| ((*zone).to_owned(), json!(format!("region-{zone}")))).collect();
    json!({
        "nodeName": name, "role": "proxy", "machineClass": "frontend", "serves": ["frontend"],
        "ip": ip, "zone": domain, "region": format!("region-{domain}"), "zones": zones,
        "listenAddrs": {
            "frontend": format!("{ip}:{PORT}"), "ready": format!("{ip}:8785"),
            "controlPlane": format!("{ip}:8782"),
        },
        "internalPortRange": [7440, 7455], "seeds": [], "bootstrap": true, "faultCounted": false,
        "limits": {
            "cpuQuota": 0.25, "cpuSpeedFactor": 1, "memoryMb": 260, "maxFds": 4300,
            "bandwidthMbps": 1000.0, "diskMb": 0,
        },
        "dataDir": null, "discovery": "platform", "entryPoint": "virtual_ip", "heartbeatMs": 1200,
        "activePolicies": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
        "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": {
            "seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 5000, "ackMs": 6000,
            "catchUpS": 4, "drainMs": 7000, "graceS": 6, "lossSlackMs": 200,
            "configApplyMs": 4000, "rollbackSlackMs": 250, "outerMs": 15000, "recoveryS": 12,
            "fencingEnforced": false, "thawMs": 300,
        },
        "platform": {
            "address": platform, "form": "objects", "writesPerS": 400, "readsPerS": 2000,
            "historyS": 20, "valueBytes": 1_048_576, "minTtlMs": 1000,
        },
        "cloudApi": {
            "address": platform, "ratePerS": 50.0, "duties": ["promotion"], "dutyPerS": 50.0,
        },
    })
}

/// Members report themselves to the store; an entry is removed after a time of silence.
async fn publish(group: Group, store: ObjectsStandin) {
    let count = group.lock().members.len();
    let mut heard: Vec<Instant> = vec![Instant::now(); count];
    loop {
        for (index, heard) in heard.iter_mut().enumerate() {
            let (reports, name, spec) = {
                let state = group.lock();
                let member = &state.members[index];
                let role = if member.leads { "primary" } else { "replica" };
                let spec = json!({
                    "service": state.service, "address": member.address, "zone": member.domain,
                    "version": "v1", "capacity": 3, "state": "ready", "warmupLeftMs": 0,
                    "dbRole": role, "sequence": 1, "born": member.born,
                });
                (member.up && !member.cut_store && !member.gone, member.id.clone(), spec)
            };
            if reports {
                *heard = Instant::now();
                store.put("servers", &name, spec);
            } else if heard.elapsed() > EXPIRY && store.get("servers", &name).is_some() {
                store.remove("servers", &name);
                group.note(format!("store: the entry of {name} is removed"));
            }
        }
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
}
