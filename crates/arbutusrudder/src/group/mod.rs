//! State of one database group in this instance: its members, their latest reports, the connections
//! to them, admission control, and the confirmation of commits by a majority.

mod admission;
mod confirm;
mod member;
mod pool;
mod probe;
mod reports;
mod state;

pub(crate) use admission::AdmissionSlot;
pub(crate) use confirm::ConfirmOutcome;
pub(crate) use member::GroupMember;
pub(crate) use pool::{PoolError, PooledConnection};
pub(crate) use probe::spawn_probes;
pub(crate) use state::{GroupContext, GroupState};
