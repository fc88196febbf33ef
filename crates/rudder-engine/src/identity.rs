//! Who an instance is, what surrounds it, and whether it goes on serving.

use crate::border::{MemberDialer, PromotionCall};
use rudder_core::{DomainName, InstanceName, plain_data};
use rudder_decisions::{LimitBounds, NodePlace};
use rudder_store::PlatformStore;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

plain_data! {
    /// Who this instance is.
    pub struct InstanceIdentity {
        /// Its name.
        pub name: InstanceName,
        /// Its failure domain.
        pub domain: DomainName,
        /// The region of that domain.
        pub region: String,
        /// The region of each failure domain, sorted by domain.
        pub regions: Vec<(DomainName, String)>,
        /// Where its peers reach it, by datagram and by connection.
        pub peer_address: SocketAddr,
        /// How long after a member said that it leaves it may be sent work, as the deployment says.
        pub member_drain: Duration,
        /// How long keys may be trusted without a sign that the settings are current; none if an
        /// instance that hears nothing goes on with what it knows.
        pub key_trust: Option<Duration>,
        /// How far the use of a client account may be above its limit, as the deployment says.
        pub limit_bounds: LimitBounds,
    }
}

impl InstanceIdentity {
    /// Where it is.
    pub(crate) fn place(&self) -> NodePlace {
        NodePlace { domain: self.domain.clone(), region: self.region.clone() }
    }
}

/// The systems around this instance.
#[derive(Clone)]
pub struct EngineBorders {
    /// Opens connections to members.
    pub dialer: Arc<dyn MemberDialer>,
    /// Promotes members.
    pub promotion: Arc<dyn PromotionCall>,
    /// Keeps the records.
    pub store: Arc<dyn PlatformStore>,
}

/// Whether this instance goes on serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainPhase {
    /// It does.
    Serving,
    /// It was told to stop; callers are asked to go elsewhere as their work ends.
    Leaving,
    /// Open transactions are given up.
    Closing,
}
