//! Settings with which a group starts.

use super::knob::ServiceDistribution;
use rudder_core::{ConnectionCount, MemberName, MemberSpeed, ServiceName, SlotCount};
use std::net::SocketAddr;
use std::time::Duration;

rudder_core::plain_data! {
    /// Settings of one member.
    pub struct MemberSettings {
        /// Name of the member, as in `follow` control statements.
        pub name: MemberName,
        /// Listen address; port 0 selects a free port.
        pub listen: SocketAddr,
        /// Speed of the member's hardware.
        pub speed: MemberSpeed,
    }
}

rudder_core::plain_data! {
    /// Members of a group, and the capacity and delays of each member.
    pub struct GroupSettings {
        /// The service that the group belongs to.
        pub service: ServiceName,
        /// The members; the first one is primary at term 1.
        pub members: Vec<MemberSettings>,
        /// Maximum number of concurrent statements of a member.
        pub slots: SlotCount,
        /// Maximum number of connections of a member.
        pub connections: ConnectionCount,
        /// Mean service time of a statement that reads or changes data, at full speed.
        pub service_time: Duration,
        /// Distribution of service times.
        pub service_distribution: ServiceDistribution,
        /// Time that it takes to open a connection.
        pub connect_time: Duration,
        /// Delay between the primary's append of an entry and its receipt by a replica.
        pub link_delay: Duration,
        /// Delay between receiving an entry and applying it on a replica.
        pub apply_lag: Duration,
        /// Seed of the random service times.
        pub seed: u64,
        /// Password for SCRAM authentication; `None` accepts callers without authentication.
        pub password: Option<String>,
    }
}

/// Hardware speed of the reference member, in percent.
const FULL_SPEED: MemberSpeed = MemberSpeed(100);

/// Default number of slots of a member.
const DEFAULT_SLOTS: SlotCount = SlotCount(5);

/// Default maximum number of connections of a member.
const DEFAULT_CONNECTIONS: ConnectionCount = ConnectionCount(1000);

impl GroupSettings {
    /// Creates settings for members that listen on the given addresses, with all delays zero.
    ///
    /// Members are named after the service: `scores-orders-1` and so on.
    ///
    /// ```
    /// use rudder_standins::GroupSettings;
    /// let settings = GroupSettings::new("scores-orders".parse()?, &["127.0.0.1:0".parse()?]);
    /// assert_eq!(settings.members[0].name.as_str(), "scores-orders-1");
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    #[must_use]
    pub fn new(service: ServiceName, listen: &[SocketAddr]) -> Self {
        let members = listen
            .iter()
            .enumerate()
            .filter_map(|(index, listen)| {
                // A service name near the maximum length leaves no room for the number; such a
                // member is left out.
                let name = format!("{service}-{}", index + 1).parse().ok()?;
                Some(MemberSettings { name, listen: *listen, speed: FULL_SPEED })
            })
            .collect();
        Self {
            service,
            members,
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            service_time: Duration::ZERO,
            service_distribution: ServiceDistribution::Fixed,
            connect_time: Duration::ZERO,
            link_delay: Duration::ZERO,
            apply_lag: Duration::ZERO,
            seed: 1,
            password: None,
        }
    }

    /// Creates settings for three members on free loopback ports.
    ///
    /// ```
    /// let settings = rudder_standins::GroupSettings::loopback("orders".parse()?);
    /// assert_eq!(settings.members.len(), 3);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn loopback(service: ServiceName) -> Self {
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::new(service, &[free; 3])
    }
}
