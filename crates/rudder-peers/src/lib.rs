//! Instances among themselves: who is there, who watches what, and what they tell each other.
//!
//! Everything a peer says is a hint: it only chooses what to try first. The state machines under
//! `membership`, `hints`, `keepers` and `node` are pure; `mesh` drives them over UDP and TCP.

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
