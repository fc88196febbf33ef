//! Faults that the platform stand-in can simulate.

use rudder_core::plain_data;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Kind of platform outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PlatformOutage {
    /// No outage.
    #[default]
    None,
    /// New connections are refused and open ones are reset at their next request.
    Refused,
    /// Connections are accepted, but requests get no response.
    Hanging,
}

plain_data! {
    /// Active faults of the platform.
    #[derive(Default, Serialize, Deserialize)]
    #[serde(default)]
    pub struct PlatformFaults {
        /// Latency added to each call, half before its effect and half after.
        pub latency_ms: u64,
        /// Present outage, if any.
        pub outage: PlatformOutage,
        /// Number of following changes that take effect although their response is lost.
        pub lost_answers: u32,
        /// Number of following changes that take effect although the response is a gateway timeout.
        pub gateway_timeouts: u32,
        /// Number of changes of the same kind of object by which reads lag.
        pub stale_by: usize,
    }
}

impl PlatformFaults {
    pub(crate) fn half_latency(&self) -> Duration {
        Duration::from_millis(self.latency_ms) / 2
    }
}

plain_data! {
    /// Number of calls served or cut since the start of the stand-in.
    #[derive(Copy, Default, Serialize)]
    pub struct CallCounts {
        /// Read calls.
        pub reads: u64,
        /// Write calls, rejected ones included.
        pub writes: u64,
        /// Bytes received, headers included.
        pub received_bytes: u64,
        /// Bytes sent, headers included.
        pub sent_bytes: u64,
    }
}
