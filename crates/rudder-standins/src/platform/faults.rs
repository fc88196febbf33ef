//! The faults that the stand-in can be told to show.

use rudder_core::plain_data;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How the platform is out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlatformOutage {
    /// In service.
    #[default]
    None,
    /// Nobody listens; open connections break.
    Refused,
    /// Connections are accepted and nothing is answered.
    Hanging,
}

plain_data! {
    /// The faults in force.
    #[derive(Default, Serialize, Deserialize)]
    #[serde(default)]
    pub struct PlatformFaults {
        /// Time added to each call, half before its effect and half after.
        pub latency_ms: u64,
        /// Whether the platform is out of service.
        pub outage: PlatformOutage,
        /// How many of the next changes take effect without their answer arriving.
        pub lost_answers: u32,
        /// How many of the next changes take effect and are answered by a gateway's timeout.
        pub gateway_timeouts: u32,
        /// How many changes of their own kind of object reads are behind.
        pub stale_by: usize,
    }
}

impl PlatformFaults {
    pub(crate) fn half_latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms) / 2
    }
}

plain_data! {
    /// The calls that the stand-in answered or cut, since its start.
    #[derive(Copy, Default, Serialize)]
    pub struct CallCounts {
        /// Calls that change nothing.
        pub reads: u64,
        /// Calls that change something, refused ones included.
        pub writes: u64,
        /// Bytes that came, headers included.
        pub received_bytes: u64,
        /// Bytes that were answered, headers included.
        pub sent_bytes: u64,
    }
}
