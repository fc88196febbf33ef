//! Command from another task to the driver.

use crate::hints::PeerHint;
use crate::member::PeerEntry;
use crate::node::FetchKind;
use crate::wire::PeerTableFrame;
use rudder_core::InstanceName;
use tokio::sync::oneshot;

/// Command from another task to the driver.
#[derive(Debug)]
pub(super) enum MeshCommand {
    /// Publishes a hint to all instances.
    Publish(PeerHint),
    /// Sends a hint to these instances only.
    SendHint(Vec<InstanceName>, PeerHint),
    /// Marks this instance as leaving.
    Leave,
    /// Replies once the output of all earlier commands has been sent.
    Flush { reply: oneshot::Sender<()> },
    /// Encodes the response to a request for the table, or a `Busy` response.
    EncodeTable { number: u64, reply: oneshot::Sender<Vec<u8>> },
    /// Encodes the response to a request for the primaries of groups, or a `Busy` response.
    EncodeGroups { number: u64, reply: oneshot::Sender<Vec<u8>> },
    /// Merges the primaries that a peer knows.
    MergeGroups { from: InstanceName, groups: Vec<PeerHint> },
    /// Records that a transfer from a peer failed.
    FetchFailed(FetchKind),
    /// Merges the table of a peer; replies with the differences to send back to the peer.
    Merge { table: PeerTableFrame, reply: oneshot::Sender<Vec<PeerEntry>> },
}
