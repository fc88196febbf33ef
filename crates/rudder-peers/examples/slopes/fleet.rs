//! Fleet of many instances inside one process, each with its own sockets.

use async_trait::async_trait;
use rudder_core::LogTerm;
use rudder_peers::{
    HintMessage, MeshError, MeshSettings, PeerHandler, PeerHint, PeerMesh, PeerReply, PeerRequest,
    PeerState, TrafficCount,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

const DOMAINS: usize = 7;

/// Handler that records the greatest received term and revision.
#[derive(Default)]
pub(crate) struct LatestHint {
    term: AtomicU64,
    revision: AtomicU64,
}

#[async_trait]
impl PeerHandler for LatestHint {
    async fn on_hint(&self, message: HintMessage) {
        match message.hint {
            PeerHint::Group(hint) => self.term.fetch_max(hint.term.0, Ordering::Relaxed),
            PeerHint::Revision(hint) => self.revision.fetch_max(hint.number, Ordering::Relaxed),
            _ => 0,
        };
    }

    async fn on_request(&self, _request: PeerRequest) -> PeerReply {
        PeerReply::Unknown
    }
}

/// An instance of the fleet.
pub(crate) struct FleetInstance {
    pub(crate) mesh: PeerMesh,
    latest: Arc<LatestHint>,
}

impl FleetInstance {
    pub(crate) async fn start(number: usize, seeds: Vec<SocketAddr>) -> Result<Self, MeshError> {
        let name = format!("rudder-{number:04}").parse().expect("a name of allowed characters");
        let domain = format!("domain-{}", number % DOMAINS);
        let domain = domain.parse().expect("a name of allowed characters");
        let settings =
            MeshSettings { seeds, ..MeshSettings::new(name, domain, ([127, 0, 0, 1], 0).into()) };
        let latest = Arc::new(LatestHint::default());
        let handler: Arc<dyn PeerHandler> = latest.clone();
        let mesh = PeerMesh::start(settings, handler).await?;
        Ok(Self { mesh, latest })
    }

    /// Whether this instance sees `count` instances, including itself, none of them suspect.
    pub(crate) fn sees(&self, count: usize) -> bool {
        let live = self.mesh.instances();
        live.len() == count && live.iter().all(|entry| entry.state == PeerState::Live)
    }

    pub(crate) fn has_received_term(&self, term: LogTerm) -> bool {
        self.latest.term.load(Ordering::Relaxed) >= term.0
    }

    pub(crate) fn has_received_revision(&self, number: u64) -> bool {
        self.latest.revision.load(Ordering::Relaxed) >= number
    }
}

/// Traffic sent by all instances of a fleet together.
#[derive(Clone, Copy, Default)]
pub(crate) struct FleetTraffic {
    pub(crate) datagrams: u64,
    pub(crate) bytes: u64,
    pub(crate) table_bytes: u64,
    pub(crate) withheld: u64,
}

pub(crate) fn traffic(fleet: &[FleetInstance]) -> Vec<TrafficCount> {
    fleet.iter().map(|instance| instance.mesh.traffic()).collect()
}

/// Returns the sum over all instances of the traffic sent between two counts.
pub(crate) fn total(before: &[TrafficCount], after: &[TrafficCount]) -> FleetTraffic {
    before.iter().zip(after).fold(FleetTraffic::default(), |sum, (before, after)| FleetTraffic {
        datagrams: sum.datagrams + after.datagrams - before.datagrams,
        bytes: sum.bytes + after.datagram_bytes - before.datagram_bytes,
        table_bytes: sum.table_bytes + after.table_bytes - before.table_bytes,
        withheld: sum.withheld + after.withheld - before.withheld,
    })
}

/// Returns the most datagram bytes that one instance sent between two counts.
pub(crate) fn busiest(before: &[TrafficCount], after: &[TrafficCount]) -> u64 {
    let pairs = before.iter().zip(after);
    pairs.map(|(before, after)| after.datagram_bytes - before.datagram_bytes).max().unwrap_or(0)
}
