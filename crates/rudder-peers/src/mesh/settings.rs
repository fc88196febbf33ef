//! What the mesh is started with.

use crate::member::Incarnation;
use rudder_core::{DomainName, InstanceName, plain_data};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Below the 2 KB a second that an instance may spend on control, with room for requests.
const BYTES_PER_SECOND: u64 = 1600;

plain_data! {
    /// What the mesh is started with.
    pub struct MeshSettings {
        /// This instance's name.
        pub instance: InstanceName,
        /// The failure domain that it stands in.
        pub domain: DomainName,
        /// Where it listens for peers, over UDP and TCP alike. It must be an address that peers can
        /// reach; port zero takes any free one.
        pub address: SocketAddr,
        /// Addresses at which peers may be found. One live one is enough.
        pub seeds: Vec<SocketAddr>,
        /// Bytes per second for heartbeats, news, hints and tables, headers of UDP included.
        pub bytes_per_second: u64,
        /// The number of this life of the instance; greater than that of any earlier one.
        pub incarnation: Incarnation,
    }
}

impl MeshSettings {
    /// Settings with defaults, and the time of the start as incarnation.
    ///
    /// ```
    /// use rudder_peers::MeshSettings;
    /// let address = ([127, 0, 0, 1], 0).into();
    /// let settings = MeshSettings::new("i1".parse()?, "bangor".parse()?, address);
    /// assert!(settings.bytes_per_second < 2_000);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn new(instance: InstanceName, domain: DomainName, address: SocketAddr) -> Self {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX);
        Self {
            instance,
            domain,
            address,
            seeds: Vec::new(),
            bytes_per_second: BYTES_PER_SECOND,
            incarnation: Incarnation(millis),
        }
    }
}
