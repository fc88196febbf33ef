//! The settings with which a group starts.

use super::knob::ServiceSpread;
use rudder_core::{ConnectionCount, MemberName, MemberSpeed, ServiceName, SlotCount};
use std::net::SocketAddr;
use std::time::Duration;

rudder_core::plain_data! {
    /// One member of a group.
    pub struct MemberSettings {
        /// Its name, by which it is followed.
        pub name: MemberName,
        /// Where it listens; port 0 takes a free one.
        pub listen: SocketAddr,
        /// Speed of its hardware.
        pub speed: MemberSpeed,
    }
}

rudder_core::plain_data! {
    /// A group and what its members cost.
    pub struct GroupSettings {
        /// The service that the group belongs to.
        pub service: ServiceName,
        /// The members; the first one is primary at term 1.
        pub members: Vec<MemberSettings>,
        /// How many statements a member runs at the same time.
        pub slots: SlotCount,
        /// How many connections a member accepts.
        pub connections: ConnectionCount,
        /// Mean service time of a statement that reads or changes data, at full speed.
        pub service_time: Duration,
        /// How service times spread around the mean.
        pub spread: ServiceSpread,
        /// How long a new connection takes.
        pub connect_time: Duration,
        /// How long an entry travels to a replica.
        pub link_delay: Duration,
        /// How long a received entry waits before a replica applies it.
        pub apply_lag: Duration,
        /// Seed of the service times.
        pub seed: u64,
        /// Password that callers must prove by SCRAM; none means that all are trusted.
        pub password: Option<String>,
    }
}

/// Speed of the reference member.
const FULL_SPEED: MemberSpeed = MemberSpeed(100);

/// Slots of a member unless given.
const DEFAULT_SLOTS: SlotCount = SlotCount(5);

/// Connections of a member unless given.
const DEFAULT_CONNECTIONS: ConnectionCount = ConnectionCount(1000);

impl GroupSettings {
    /// A group of members that listen on the given addresses, without delays of any kind.
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
                // A service name of nearly the greatest length leaves no room for the number.
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
            spread: ServiceSpread::Fixed,
            connect_time: Duration::ZERO,
            link_delay: Duration::ZERO,
            apply_lag: Duration::ZERO,
            seed: 1,
            password: None,
        }
    }

    /// A group of three members on free loopback ports.
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
