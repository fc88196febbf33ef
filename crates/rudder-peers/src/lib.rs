//! Communication between instances: membership, hints about database groups, the assignment of
//! groups to instances, and requests between peers.
//!
//! Information from peers is only a hint: it decides what to try first and is never taken as proof.
//! The modules `membership`, `hints`, `keepers` and `node` are state machines without I/O; `mesh`
//! drives them over UDP and TCP.

mod budget;
mod handler;
mod hints;
mod keepers;
mod member;
mod membership;
mod mesh;
mod node;
mod wire;

pub use handler::{NoopHandler, PeerHandler};
pub use hints::{
    GroupHint, HintMessage, LeavingNotice, LeavingSubject, MemberSample, PeerHint, RevisionHint,
    SuspicionVote,
};
pub use keepers::{
    ConnectionShare, DutyMap, HolderRule, KEEPER_COUNT, forwarding_order, holders_of, keepers_of,
};
pub use member::{Incarnation, PeerEntry, PeerState};
pub use mesh::{MeshError, MeshSettings, PeerError, PeerMesh};
pub use node::TrafficCount;
pub use wire::{PeerReply, PeerRequest, WireError, groups_bytes, heartbeat_bytes, table_bytes};
