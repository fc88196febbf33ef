//! A small deployment of the users' platform: object store, database group, and the objects that
//! describe members and settings.

use super::group::{LineGroup, LineMember};
use crate::objects::{ObjectsStandin, PromotionRequest};
use serde_json::{Value, json};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Name of the environment variable that holds the path of an instance's settings file.
pub const BOOT_VARIABLE: &str = "ARBUTUSRUDDER_BOOT";

/// Failure domains, each in its own region.
const DOMAINS: [&str; 3] = ["north", "south", "west"];

const CALLER_PORT: u16 = 6432;
const READY_PORT: u16 = 6433;
const PEER_PORT: u16 = 6434;

static ADDRESS_COUNT: AtomicU32 = AtomicU32::new(0);

/// Consistency level of a database's reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineConsistency {
    /// Reads see every acknowledged commit.
    Strict,
    /// Reads see every commit acknowledged at least 1.5 s ago.
    Bounded,
    /// Reads see every commit acknowledged at least 2.5 s ago, and all commits of their session.
    OwnWrites,
}

/// A database declared in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineDatabase {
    /// Name of the database.
    pub name: String,
    /// Consistency level of its reads.
    pub consistency: LineConsistency,
    /// Whether callers may connect without an API key.
    pub public: bool,
}

/// A client account declared in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct LineAccount {
    /// Name of the account.
    pub name: String,
    /// API keys of the account.
    pub keys: Vec<String>,
    /// Rate limit in operations per second and burst size; `None` if unlimited.
    pub limit: Option<(f64, f64)>,
}

/// A member's registration in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineEntry {
    /// Index of the member, which selects its failure domain.
    pub number: usize,
    /// Member to register.
    pub member: LineMember,
    /// Address at which instances reach the member.
    pub address: SocketAddr,
    /// Whether the member is registered as draining.
    pub leaving: bool,
}

/// Index and listen address of one proxy instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineSlot {
    /// Index of the instance, which selects its name and failure domain.
    pub number: usize,
    /// Address on which the instance accepts callers.
    pub callers: SocketAddr,
}

impl LineSlot {
    /// Returns the name of the instance.
    ///
    /// ```
    /// assert_eq!(rudder_standins::LineFleet::instance_slot(2).name(), "proxy-2");
    /// ```
    #[must_use]
    pub fn name(&self) -> String {
        format!("proxy-{}", self.number)
    }
}

/// Object store and database group of one service.
pub struct LineFleet {
    /// Object store.
    pub store: ObjectsStandin,
    /// Database group.
    pub group: LineGroup,
    service: String,
    accounts: Mutex<Option<Vec<LineAccount>>>,
    /// Last promotion order, if it was accepted.
    orders: watch::Sender<Option<PromotionRequest>>,
}

impl LineFleet {
    /// Starts a group of three members and a store that forwards promotions to them.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is available.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LineConsistency, LineDatabase, LineFleet};
    /// let fleet = LineFleet::start("records", std::time::Duration::ZERO).await?;
    /// fleet.publish_settings(1, &[LineDatabase {
    ///     name: "db".to_owned(), consistency: LineConsistency::Strict, public: false,
    /// }]);
    /// let slot = LineFleet::instance_slot(0);
    /// assert!(fleet.boot_text(&slot, fleet.store.address()).contains("proxy-0"));
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn start(service: &str, lag: Duration) -> io::Result<Self> {
        let group = LineGroup::start(service, DOMAINS.len(), lag).await?;
        let promoted_group = group.clone();
        let own_service = service.to_owned();
        let orders = watch::Sender::new(None);
        let received = orders.clone();
        let store = ObjectsStandin::start(Arc::new(move |request: &PromotionRequest| {
            let accepted = request.service == own_service
                && promoted_group.promote(&request.member, request.token);
            received.send_replace(accepted.then(|| request.clone()));
            accepted
        }))
        .await?;
        let accounts = Mutex::default();
        Ok(Self { store, group, service: service.to_owned(), accounts, orders })
    }

    /// Waits until the next promotion order is accepted, and returns it.
    pub async fn next_order(&self) -> PromotionRequest {
        let mut orders = self.orders.subscribe();
        loop {
            // Fails only if the sender is dropped, which this deployment holds.
            if orders.changed().await.is_ok()
                && let Some(request) = orders.borrow_and_update().clone()
            {
                return request;
            }
        }
    }

    /// Writes the members' registrations as the members would.
    pub fn publish_members(&self, entries: &[LineEntry]) {
        for entry in entries {
            let state = if entry.leaving { "draining" } else { "ready" };
            let role = if entry.member.is_primary { "primary" } else { "replica" };
            let spec = json!({
                "service": self.service, "address": entry.address,
                "zone": DOMAINS[entry.number % DOMAINS.len()],
                "version": "v1", "capacity": 3, "state": state, "warmupLeftMs": 0,
                "dbRole": role, "sequence": 1, "born": entry.member.started_at_ms,
            });
            self.store.put("servers", &entry.member.id, spec);
        }
    }

    /// Sets the client accounts declared by later versions of the settings.
    pub fn set_accounts(&self, accounts: Vec<LineAccount>) {
        *self.accounts.lock().unwrap_or_else(PoisonError::into_inner) = Some(accounts);
    }

    /// Writes a version of the settings as an operator would.
    pub fn publish_settings(&self, version: u64, databases: &[LineDatabase]) {
        let routes: Vec<Value> = databases.iter().map(|database| self.route(database)).collect();
        let sync_replicas = self.group.sync_replicas();
        let services =
            json!([{"name": self.service, "maxConnections": 40, "syncReplicas": sync_replicas}]);
        let limits = json!({"txIdleMs": 1000});
        let mut spec = json!({
            "version": version, "routes": routes, "services": services, "limits": limits,
        });
        if let Some(accounts) = &*self.accounts.lock().unwrap_or_else(PoisonError::into_inner) {
            spec["tenants"] = accounts.iter().map(account).collect();
        }
        self.store.put("config", "main", spec);
    }

    fn route(&self, database: &LineDatabase) -> Value {
        let (kind, staleness) = match database.consistency {
            LineConsistency::Strict => ("primary", json!(null)),
            LineConsistency::Bounded => ("bounded_staleness", json!(1500)),
            LineConsistency::OwnWrites => ("read_your_writes", json!(2500)),
        };
        json!({
            "name": format!("r-{}", database.name), "host": database.name, "type": kind,
            "timeoutMs": 2000, "targetLatencyMs": 1000, "priority": 1, "service": self.service,
            "maxAttempts": 2, "maxStalenessMs": staleness, "public": database.public,
        })
    }

    /// Returns an unused loopback address for one more instance. The address is specific to this
    /// process and call, as another test could take a free port before the instance binds it.
    #[must_use]
    pub fn instance_slot(number: usize) -> LineSlot {
        let count = ADDRESS_COUNT.fetch_add(1, Ordering::Relaxed);
        let process = 20 + std::process::id() % 200;
        let octet = |value: u32| u8::try_from(value % 250).unwrap_or(0);
        let ip = IpAddr::from([127, octet(process), octet(count / 250), octet(count) + 1]);
        LineSlot { number, callers: SocketAddr::new(ip, CALLER_PORT) }
    }

    /// The settings file of an instance that reaches store and promotion call at `platform`.
    #[must_use]
    pub fn boot_text(&self, slot: &LineSlot, platform: SocketAddr) -> String {
        let ip = slot.callers.ip();
        let domain = DOMAINS[slot.number % DOMAINS.len()];
        let regions: serde_json::Map<_, _> =
            DOMAINS.iter().map(|domain| ((*domain).to_owned(), json!(*domain))).collect();
        json!({
            "nodeName": slot.name(), "ip": ip, "zone": domain,
            "region": domain, "zones": regions,
            "listenAddrs": {
                "frontend": slot.callers, "ready": SocketAddr::new(ip, READY_PORT),
            },
            "internalPortRange": [PEER_PORT, PEER_PORT],
            "bounds": {
                "graceS": 6, "drainMs": 7000,
                "quotaWindowS": 5, "quotaOverage": 0.1, "quotaTolerance": 20,
            },
            "platform": {"address": platform},
            "cloudApi": {"address": platform},
        })
        .to_string()
    }
}

fn account(account: &LineAccount) -> Value {
    let mut entry = json!({"name": account.name, "apiKeys": account.keys, "priority": 1});
    if let Some((rate, burst)) = account.limit {
        entry["ratePerS"] = json!(rate);
        entry["burst"] = json!(burst);
    }
    entry
}
