//! The checked settings, in the form that the proxy works with.

use rudder_core::{
    CallerKind, ConnectionCount, DomainName, MemberName, MemberSpeed, ServiceName, SlotCount,
    plain_data,
};
use std::net::SocketAddr;
use std::time::Duration;

plain_data! {
    /// Everything that operators declare, merged and checked. Every list is sorted by name.
    #[derive(Default)]
    pub struct FleetSettings {
        /// The database services.
        pub services: Vec<ServiceSettings>,
        /// The kinds of caller.
        pub callers: Vec<CallerSettings>,
        /// The failure domains.
        pub domains: Vec<DomainSettings>,
        /// Bounds in time.
        pub timing: TimingSettings,
    }
}

impl FleetSettings {
    /// The service of this name.
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

    /// The kind of the caller who logs in as `user`: the first kind that names the user.
    ///
    /// ```
    /// assert!(rudder_settings::FleetSettings::default().caller_of("anna").is_none());
    /// ```
    #[must_use]
    pub fn caller_of(&self, user: &str) -> Option<&CallerSettings> {
        self.callers.iter().find(|caller| caller.users.iter().any(|name| name == user))
    }
}

plain_data! {
    /// One database service and the members of its group.
    pub struct ServiceSettings {
        /// The name that callers give as their database.
        pub name: ServiceName,
        /// The database's name at the members; the service's name unless declared.
        pub database: String,
        /// The user that the proxy logs in as at the members.
        pub user: String,
        /// Name of the environment variable that holds that user's password, if it has one.
        pub password_variable: Option<String>,
        /// When a commit is acknowledged.
        pub ack: AckRule,
        /// The group's members, sorted by name.
        pub members: Vec<MemberSettings>,
    }
}

plain_data! {
    /// One member of a database group.
    pub struct MemberSettings {
        /// The member's name.
        pub name: MemberName,
        /// Where it listens.
        pub address: SocketAddr,
        /// The failure domain that it stands in.
        pub domain: DomainName,
        /// Statements that it runs at the same time.
        pub slots: SlotCount,
        /// Connections that it accepts from all instances together.
        pub connections: ConnectionCount,
        /// Speed of its hardware, as a first guess until it has been observed.
        pub speed: MemberSpeed,
        /// Whether it is leaving and gets no new work.
        pub draining: bool,
    }
}

/// When a commit is acknowledged to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AckRule {
    /// Once a majority of the members holds it at the primary's own term.
    #[default]
    Majority,
    /// On the primary's word alone; a failover may lose the change.
    Primary,
}

plain_data! {
    /// What one kind of caller is given.
    pub struct CallerSettings {
        /// The kind's name.
        pub kind: CallerKind,
        /// The users who log in as this kind.
        pub users: Vec<String>,
        /// The greatest age that a read of this kind accepts; zero reads from the primary only
        /// what no replica is known to hold.
        pub staleness: Duration,
        /// Whether this kind is turned away before others under overload.
        pub shed: ShedOrder,
        /// Requests of this kind in flight or waiting at one instance.
        pub in_flight_max: u32,
        /// How long a request of this kind waits for a slot.
        pub queue_wait: Duration,
    }
}

/// Which kinds are turned away first under overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShedOrder {
    /// Turned away before others: it can come back later.
    First,
    /// Turned away last.
    #[default]
    Last,
}

plain_data! {
    /// One failure domain.
    pub struct DomainSettings {
        /// The failure domain's name.
        pub name: DomainName,
        /// The region that it belongs to.
        pub region: String,
    }
}

plain_data! {
    /// Bounds in time. Each has a default; all must be positive.
    pub struct TimingSettings {
        /// How often a keeper asks a member for its status while no traffic does.
        pub probe_interval: Duration,
        /// How long a primary may stay unheard before an observer suspects it.
        pub suspect_after: Duration,
        /// How long a read waits for a replica to catch up.
        pub read_wait: Duration,
        /// How long one statement may take at a member.
        pub statement_timeout: Duration,
        /// How long a commit waits for a majority.
        pub ack_timeout: Duration,
        /// How long a caller may take to log in.
        pub login_timeout: Duration,
        /// How long a caller may stay idle outside a transaction.
        pub idle_timeout: Duration,
        /// How long a caller may stay idle inside a transaction.
        pub transaction_idle_timeout: Duration,
        /// How long connecting and logging in at a member may take.
        pub connect_timeout: Duration,
        /// After how long an idle connection to a member is checked before reuse.
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
