//! What other tasks ask the driver to do.

use crate::hints::PeerHint;
use crate::member::PeerEntry;
use crate::node::FetchKind;
use crate::wire::PeerTableFrame;
use rudder_core::InstanceName;
use tokio::sync::oneshot;

/// What other tasks ask the driver to do.
#[derive(Debug)]
pub(super) enum MeshCommand {
    /// Spread a hint.
    Publish(PeerHint),
    /// Send a hint to these instances only.
    SendHint(Vec<InstanceName>, PeerHint),
    /// Say that this instance is leaving.
    Leave,
    /// Answer once everything commanded before has been sent.
    Flush { reply: oneshot::Sender<()> },
    /// Encode the answer to a request for the table, or a refusal.
    EncodeTable { number: u64, reply: oneshot::Sender<Vec<u8>> },
    /// Encode the answer to a request for the primaries of groups, or a refusal.
    EncodeGroups { number: u64, reply: oneshot::Sender<Vec<u8>> },
    /// Take in the primaries that a peer knows of.
    MergeGroups { from: InstanceName, groups: Vec<PeerHint> },
    /// A transfer from a peer brought nothing.
    FetchFailed(FetchKind),
    /// Take in a peer's table; answer with the differences that the peer should hear.
    Merge { table: PeerTableFrame, reply: oneshot::Sender<Vec<PeerEntry>> },
}
