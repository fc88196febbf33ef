//! One version of the operators' settings, as the engine uses it.

use super::accounts::AccountTable;
use rudder_core::{ServiceName, plain_data};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

/// The name of a database, as callers give it.
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

/// The number of a version of the settings; a greater one replaces a lesser one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SettingsVersion(pub u64);

impl fmt::Display for SettingsVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What the reads of a database must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Every acknowledged commit.
    Strict,
    /// Every commit acknowledged longer ago than the bound.
    Bounded(Duration),
    /// The same, and every commit of the session.
    OwnWrites(Duration),
}

plain_data! {
    /// One database.
    #[derive(Serialize, Deserialize)]
    pub struct RouteRule {
        /// The database.
        pub database: DatabaseName,
        /// The service that holds it.
        pub service: ServiceName,
        /// What its reads must see.
        pub kind: RouteKind,
        /// The most time for one statement.
        pub statement_timeout: Duration,
        /// The time within which a whole operation is meant to be answered.
        pub latency_target: Duration,
        /// 0 is served first.
        pub priority: u8,
        /// Whether callers need no key.
        pub is_public: bool,
    }
}

plain_data! {
    /// One service.
    #[derive(Serialize, Deserialize)]
    pub struct ServiceRule {
        /// The service.
        pub service: ServiceName,
        /// Connections that one member takes from all instances together.
        pub connections_max: u32,
    }
}

plain_data! {
    /// One version of all settings; routes and services are sorted by name.
    #[derive(Serialize, Deserialize)]
    pub struct FleetSettings {
        /// The version.
        pub version: SettingsVersion,
        /// The databases.
        pub routes: Vec<Arc<RouteRule>>,
        /// The services.
        pub services: Vec<ServiceRule>,
        /// How long a transaction may stay idle.
        pub transaction_idle: Duration,
        /// The client accounts; none if the deployment has none, and every caller is served.
        pub accounts: Option<AccountTable>,
    }
}

impl FleetSettings {
    /// The rule of a database.
    pub(crate) fn route(&self, database: &DatabaseName) -> Option<&Arc<RouteRule>> {
        let found = self.routes.binary_search_by(|route| route.database.cmp(database));
        found.ok().map(|index| &self.routes[index])
    }

    /// Puts routes and services in order.
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

    /// The same with client accounts.
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
