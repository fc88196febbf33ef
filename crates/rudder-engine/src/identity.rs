//! Identity of an instance, its external systems and the phases of its shutdown.

use crate::interfaces::{MemberDialer, PromotionCall};
use rudder_core::{DomainName, InstanceName, plain_data};
use rudder_decisions::{InstanceCapacity, LimitBounds, MachineLimits, NodePlace};
use rudder_store::PlatformStore;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

plain_data! {
    /// Identity and deployment settings of this instance.
    pub struct InstanceIdentity {
        /// Name of the instance.
        pub name: InstanceName,
        /// Failure domain of the instance.
        pub domain: DomainName,
        /// Region of that failure domain.
        pub region: String,
        /// Region of each failure domain, sorted by domain.
        pub regions: Vec<(DomainName, String)>,
        /// Address at which peers reach the instance, by datagram and by connection.
        pub peer_address: SocketAddr,
        /// Time for which a member that announced its shutdown may be sent statements, as the
        /// deployment configures it.
        pub member_drain: Duration,
        /// Time for which keys are trusted without confirmation that the settings are current; none
        /// if they are trusted for as long as the settings stay unconfirmed.
        pub key_validity: Option<Duration>,
        /// Bounds on how far a client account may exceed its limit, as the deployment configures
        /// them.
        pub limit_bounds: LimitBounds,
        /// Capacity of the machine; `None` if the deployment does not state it.
        pub capacity: Option<InstanceCapacity>,
        /// Memory and descriptors that the machine gives to the process.
        pub machine: MachineLimits,
    }
}

impl InstanceIdentity {
    /// Returns the failure domain and region of the instance.
    pub(crate) fn place(&self) -> NodePlace {
        NodePlace { domain: self.domain.clone(), region: self.region.clone() }
    }
}

/// External systems that this instance calls.
#[derive(Clone)]
pub struct EngineDependencies {
    /// Opens connections to members.
    pub dialer: Arc<dyn MemberDialer>,
    /// Promotes members.
    pub promotion: Arc<dyn PromotionCall>,
    /// Stores the records of primaries, the list of instances and the settings.
    pub store: Arc<dyn PlatformStore>,
}

/// Phase of an instance's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// The instance serves callers and is not shutting down.
    Serving,
    /// The instance is shutting down; callers are asked to reconnect elsewhere as their statements
    /// and transactions end.
    Leaving,
    /// Open transactions are aborted.
    Closing,
}
