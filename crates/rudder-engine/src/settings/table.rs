//! A version of the operators' settings in the form that the engine uses.

use super::accounts::AccountTable;
use rudder_core::{ServiceName, plain_data};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// Name of a database, as sent by callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DatabaseName(pub String);

impl fmt::Display for DatabaseName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for DatabaseName {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.to_owned()))
    }
}

/// Version number of the settings; a higher version replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SettingsVersion(pub u64);

impl fmt::Display for SettingsVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Consistency guarantee for the reads of a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Reads see every acknowledged commit.
    Strict,
    /// Reads see every commit that was acknowledged longer ago than the bound.
    Bounded(Duration),
    /// Reads see the same as with [`RouteKind::Bounded`], and every commit of their own session.
    ReadYourWrites(Duration),
}

plain_data! {
    /// Routing rule of a database.
    #[derive(Serialize, Deserialize)]
    pub struct RouteRule {
        /// Name of the database.
        pub database: DatabaseName,
        /// Service that holds the database.
        pub service: ServiceName,
        /// Consistency guarantee for its reads.
        pub kind: RouteKind,
        /// Timeout of a statement.
        pub statement_timeout: Duration,
        /// Target latency of a whole operation.
        pub latency_target: Duration,
        /// Priority of requests; 0 is served first.
        pub priority: u8,
        /// Whether callers need no key.
        pub is_public: bool,
    }
}

plain_data! {
    /// Settings of a service.
    #[derive(Serialize, Deserialize)]
    pub struct ServiceRule {
        /// Name of the service.
        pub service: ServiceName,
        /// Maximum number of connections to one member from all instances together.
        pub connections_max: u32,
        /// Number of replicas that have received a commit when the primary acknowledges it.
        pub sync_replicas: u32,
    }
}

plain_data! {
    /// A version of all settings, with routes and services sorted by name.
    #[derive(Serialize, Deserialize)]
    pub struct FleetSettings {
        /// Version of the settings.
        pub version: SettingsVersion,
        /// Rules of the databases.
        pub routes: Vec<Arc<RouteRule>>,
        /// Settings of the services.
        pub services: Vec<ServiceRule>,
        /// Idle timeout of transactions.
        pub transaction_idle: Duration,
        /// Client accounts; `None` if the deployment has none and serves every caller.
        pub accounts: Option<AccountTable>,
    }
}

impl FleetSettings {
    /// Returns the rule of a database.
    pub(crate) fn route(&self, database: &DatabaseName) -> Option<&Arc<RouteRule>> {
        let found = self.routes.binary_search_by(|route| route.database.cmp(database));
        found.ok().map(|index| &self.routes[index])
    }

    /// Creates settings without accounts from routes and services in any order.
    ///
    /// ```
    /// use rudder_engine::{FleetSettings, SettingsVersion};
    /// use std::time::Duration;
    /// let idle = Duration::from_secs(3);
    /// let settings = FleetSettings::sorted(SettingsVersion(4), Vec::new(), Vec::new(), idle);
    /// assert_eq!(settings.version, SettingsVersion(4));
    /// ```
    #[must_use]
    pub fn sorted(
        version: SettingsVersion,
        routes: Vec<RouteRule>,
        mut services: Vec<ServiceRule>,
        transaction_idle: Duration,
    ) -> Self {
        let mut routes: Vec<Arc<RouteRule>> = routes.into_iter().map(Arc::new).collect();
        routes.sort_by(|left, right| left.database.cmp(&right.database));
        services.sort_by(|left, right| left.service.cmp(&right.service));
        Self { version, routes, services, transaction_idle, accounts: None }
    }

    /// Returns the settings with the given client accounts.
    ///
    /// ```
    /// use rudder_engine::{AccountTable, FleetSettings, SettingsVersion};
    /// use std::time::Duration;
    /// let idle = Duration::from_secs(3);
    /// let settings = FleetSettings::sorted(SettingsVersion(4), Vec::new(), Vec::new(), idle);
    /// let settings = settings.with_accounts(AccountTable::default());
    /// assert!(settings.accounts.is_some());
    /// ```
    #[must_use]
    pub fn with_accounts(self, accounts: AccountTable) -> Self {
        Self { accounts: Some(accounts), ..self }
    }
}
