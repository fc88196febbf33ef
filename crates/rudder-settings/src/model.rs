//! Validated settings as the proxy uses them.

use rudder_core::{
    CallerKind, ConnectionCount, DomainName, MemberName, MemberSpeed, ServiceName, SlotCount,
    plain_data,
};
use std::net::SocketAddr;
use std::time::Duration;

plain_data! {
    /// All merged and validated settings. Every list is sorted by name.
    #[derive(Default)]
    pub struct FleetSettings {
        /// Database services.
        pub services: Vec<ServiceSettings>,
        /// Kinds of caller.
        pub callers: Vec<CallerSettings>,
        /// Failure domains.
        pub domains: Vec<DomainSettings>,
        /// Intervals and timeouts.
        pub timing: TimingSettings,
    }
}

impl FleetSettings {
    /// Returns the service with this name.
    ///
    /// ```
    /// let fleet = rudder_settings::FleetSettings::default();
    /// assert!(fleet.service(&"scores-db".parse()?).is_none());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSettings> {
        let index = self.services.binary_search_by(|service| service.name.cmp(name)).ok()?;
        Some(&self.services[index])
    }

    /// Returns the settings of the caller kind that lists `user` as one of its users.
    ///
    /// ```
    /// assert!(rudder_settings::FleetSettings::default().caller_for_user("anna").is_none());
    /// ```
    #[must_use]
    pub fn caller_for_user(&self, user: &str) -> Option<&CallerSettings> {
        self.callers.iter().find(|caller| caller.users.iter().any(|name| name == user))
    }
}

plain_data! {
    /// One database service and the members of its group.
    pub struct ServiceSettings {
        /// Name that callers specify as their database.
        pub name: ServiceName,
        /// Name of the database at the members; defaults to the service name.
        pub database: String,
        /// User that the proxy logs in as at the members.
        pub user: String,
        /// Name of the environment variable that holds this user's password; `None` without a
        /// password.
        pub password_variable: Option<String>,
        /// Condition for acknowledging a commit.
        pub ack: AckRule,
        /// Members of the group, sorted by name.
        pub members: Vec<MemberSettings>,
    }
}

plain_data! {
    /// One member of a database group.
    pub struct MemberSettings {
        /// Name of the member.
        pub name: MemberName,
        /// Address that the member listens on.
        pub address: SocketAddr,
        /// Failure domain that the member runs in.
        pub domain: DomainName,
        /// Maximum number of statements that the member runs concurrently.
        pub slots: SlotCount,
        /// Maximum number of connections that the member accepts from all instances together.
        pub connections: ConnectionCount,
        /// Relative hardware speed, used until the member's speed has been observed.
        pub speed: MemberSpeed,
        /// Whether the member is being drained and receives no new requests.
        pub draining: bool,
    }
}

/// Condition for acknowledging a commit to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AckRule {
    /// A majority of the members stores the commit in the primary's current term.
    #[default]
    Majority,
    /// The primary alone confirms the commit; a failover may lose it.
    Primary,
}

plain_data! {
    /// Limits and guarantees for one kind of caller.
    pub struct CallerSettings {
        /// Name of the kind.
        pub kind: CallerKind,
        /// Users who log in as this kind.
        pub users: Vec<String>,
        /// Maximum staleness that reads of this kind accept. With zero, a read uses the primary
        /// only if no replica is known to have the data.
        pub staleness: Duration,
        /// Whether requests of this kind are shed before others under overload.
        pub shed: ShedOrder,
        /// Maximum number of requests of this kind in flight or queued at one instance.
        pub in_flight_max: u32,
        /// Maximum time that a request of this kind waits for a slot.
        pub queue_wait: Duration,
    }
}

/// Order in which caller kinds are shed under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedOrder {
    /// Shed before others, because its requests can be retried later.
    First,
    /// Shed last.
    #[default]
    Last,
}

plain_data! {
    /// One failure domain.
    pub struct DomainSettings {
        /// Name of the failure domain.
        pub name: DomainName,
        /// Region that the failure domain belongs to.
        pub region: String,
    }
}

plain_data! {
    /// Intervals and timeouts. Each has a default; all must be positive.
    pub struct TimingSettings {
        /// Interval at which a keeper polls a member's status if no traffic reports it.
        pub probe_interval: Duration,
        /// Time without a response after which an observer suspects a primary.
        pub suspect_after: Duration,
        /// Maximum time that a read waits for a replica to catch up.
        pub read_wait: Duration,
        /// Timeout of one statement at a member.
        pub statement_timeout: Duration,
        /// Maximum time that a commit waits for a majority.
        pub ack_timeout: Duration,
        /// Timeout for a caller's login.
        pub login_timeout: Duration,
        /// Maximum idle time of a caller outside a transaction.
        pub idle_timeout: Duration,
        /// Maximum idle time of a caller inside a transaction.
        pub transaction_idle_timeout: Duration,
        /// Timeout for connecting and logging in to a member.
        pub connect_timeout: Duration,
        /// Idle time after which a connection to a member is checked before reuse.
        pub idle_check_after: Duration,
    }
}

impl Default for TimingSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(250),
            suspect_after: Duration::from_millis(800),
            read_wait: Duration::from_millis(50),
            statement_timeout: Duration::from_secs(30),
            ack_timeout: Duration::from_secs(2),
            login_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(3600),
            transaction_idle_timeout: Duration::from_secs(60),
            connect_timeout: Duration::from_secs(2),
            idle_check_after: Duration::from_secs(5),
        }
    }
}
