//! Settings of the mesh.

use crate::member::Incarnation;
use rudder_core::{DomainName, InstanceName, plain_data};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// Default budget. Below the 2 KB a second that an instance may use for control traffic, with room
/// for requests.
const BYTES_PER_SECOND: u64 = 1600;

plain_data! {
    /// Settings of the mesh.
    pub struct MeshSettings {
        /// Name of this instance.
        pub instance: InstanceName,
        /// Failure domain of this instance.
        pub domain: DomainName,
        /// Address at which it listens for peers, over both UDP and TCP. Peers must be able to
        /// reach it; port zero selects any free port.
        pub address: SocketAddr,
        /// Addresses at which peers may be found. One reachable address is sufficient.
        pub seeds: Vec<SocketAddr>,
        /// Budget in bytes per second for heartbeats, updates, hints and tables, including UDP
        /// headers.
        pub bytes_per_second: u64,
        /// Incarnation of this run of the instance; greater than that of any earlier run.
        pub incarnation: Incarnation,
    }
}

impl MeshSettings {
    /// Returns the default settings, with the current time as incarnation.
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
