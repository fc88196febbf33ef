//! A small deployment of the users' platform: store, group, and what both say of each other.

use super::group::{LineGroup, LineMember};
use crate::objects::ObjectsStandin;
use serde_json::{Value, json};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The variable that names an instance's settings file.
pub const BOOT_VARIABLE: &str = "ARBUTUSRUDDER_BOOT";

/// Failure domains, each in a region of its own.
const DOMAINS: [&str; 3] = ["north", "south", "west"];

const CALLER_PORT: u16 = 6432;
const READY_PORT: u16 = 6433;
const PEER_PORT: u16 = 6434;

/// When the members started, in milliseconds since 1970.
const MEMBER_START_MS: u64 = 1_700_000_000_000;

static ADDRESS_COUNT: AtomicU32 = AtomicU32::new(0);

/// What the reads of a database must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineKind {
    /// Every acknowledged commit.
    Strict,
    /// Every commit that was acknowledged 1.5 s ago.
    Bounded,
    /// Every commit that was acknowledged 2.5 s ago, and those of the session.
    OwnWrites,
}

/// One database of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineDatabase {
    /// Its name.
    pub name: String,
    /// What its reads must see.
    pub kind: LineKind,
    /// Whether callers need no key.
    pub public: bool,
}

/// One client account of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct LineAccount {
    /// Its name.
    pub name: String,
    /// Its keys.
    pub keys: Vec<String>,
    /// Operations a second, and at once beyond them; none if that is not limited.
    pub limit: Option<(f64, f64)>,
}

/// A member's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineEntry {
    /// The member's number, which gives its failure domain.
    pub number: usize,
    /// The member.
    pub member: LineMember,
    /// Where instances reach it.
    pub address: SocketAddr,
    /// Whether it says that it is leaving.
    pub leaving: bool,
}

/// Where one instance listens, and what it is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LineSeat {
    /// Its number, which gives its name and failure domain.
    pub number: usize,
    /// Where it listens for callers.
    pub callers: SocketAddr,
}

/// Store and group of one service.
pub struct LineFleet {
    /// The store.
    pub store: ObjectsStandin,
    /// The group.
    pub group: LineGroup,
    service: String,
    accounts: Mutex<Option<Vec<LineAccount>>>,
}

impl LineFleet {
    /// Starts a group of three members and a store that promotes them.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{LineDatabase, LineFleet, LineKind};
    /// let fleet = LineFleet::start("records", std::time::Duration::ZERO).await?;
    /// fleet.publish_settings(1, &[LineDatabase {
    ///     name: "db".to_owned(), kind: LineKind::Strict, public: false,
    /// }]);
    /// let seat = LineFleet::seat(0);
    /// assert!(fleet.boot_text(&seat, fleet.store.address()).contains("proxy-0"));
    /// # Ok::<(), std::io::Error>(())
    /// # })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn start(service: &str, lag: Duration) -> io::Result<Self> {
        let group = LineGroup::start(service, DOMAINS.len(), lag).await?;
        let promoted_group = group.clone();
        let own_service = service.to_owned();
        let store = ObjectsStandin::start(Arc::new(move |service, member, token| {
            service == own_service && promoted_group.promote(member, token)
        }))
        .await?;
        Ok(Self { store, group, service: service.to_owned(), accounts: Mutex::default() })
    }

    /// Writes the members' entries as the members would.
    pub fn publish_members(&self, entries: &[LineEntry]) {
        for entry in entries {
            let state = if entry.leaving { "draining" } else { "ready" };
            let role = if entry.member.is_primary { "primary" } else { "replica" };
            let spec = json!({
                "service": self.service, "address": entry.address,
                "zone": DOMAINS[entry.number % DOMAINS.len()],
                "version": "v1", "capacity": 3, "state": state, "warmupLeftMs": 0,
                "dbRole": role, "sequence": 1, "born": MEMBER_START_MS,
            });
            self.store.put("servers", &entry.member.id, spec);
        }
    }

    /// Sets the client accounts that the next versions of the settings declare.
    pub fn set_accounts(&self, accounts: Vec<LineAccount>) {
        *self.accounts.lock().unwrap_or_else(PoisonError::into_inner) = Some(accounts);
    }

    /// Writes a version of the settings as the operator would.
    pub fn publish_settings(&self, version: u64, databases: &[LineDatabase]) {
        let routes: Vec<Value> = databases.iter().map(|database| self.route(database)).collect();
        let services = json!([{"name": self.service, "maxConnections": 40, "syncReplicas": 0}]);
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
        let (kind, staleness) = match database.kind {
            LineKind::Strict => ("primary", json!(null)),
            LineKind::Bounded => ("bounded_staleness", json!(1500)),
            LineKind::OwnWrites => ("read_your_writes", json!(2500)),
        };
        json!({
            "name": format!("r-{}", database.name), "host": database.name, "type": kind,
            "timeoutMs": 2000, "targetLatencyMs": 1000, "priority": 1, "service": self.service,
            "maxAttempts": 2, "maxStalenessMs": staleness, "public": database.public,
        })
    }

    /// A place for one more instance, at a loopback address that nothing else of this machine's
    /// tests uses: a free port could be taken by another test before the instance binds it.
    #[must_use]
    pub fn seat(number: usize) -> LineSeat {
        let count = ADDRESS_COUNT.fetch_add(1, Ordering::Relaxed);
        let process = 20 + std::process::id() % 200;
        let octet = |value: u32| u8::try_from(value % 250).unwrap_or(0);
        let ip = IpAddr::from([127, octet(process), octet(count / 250), octet(count) + 1]);
        LineSeat { number, callers: SocketAddr::new(ip, CALLER_PORT) }
    }

    /// The settings file of an instance that reaches store and promotion call at `platform`.
    #[must_use]
    pub fn boot_text(&self, seat: &LineSeat, platform: SocketAddr) -> String {
        let ip = seat.callers.ip();
        let domain = DOMAINS[seat.number % DOMAINS.len()];
        let regions: serde_json::Map<_, _> =
            DOMAINS.iter().map(|domain| ((*domain).to_owned(), json!(*domain))).collect();
        json!({
            "nodeName": format!("proxy-{}", seat.number), "ip": ip, "zone": domain,
            "region": domain, "zones": regions,
            "listenAddrs": {
                "frontend": seat.callers, "ready": SocketAddr::new(ip, READY_PORT),
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
