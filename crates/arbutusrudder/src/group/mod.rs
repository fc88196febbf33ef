//! One database group as this instance sees it: its members, their last reports, the connections
//! to them, and the acknowledgement of commits.

mod admission;
mod confirm;
mod member;
mod pool;
mod probe;
mod reports;
mod state;

pub(crate) use admission::AdmissionPass;
pub(crate) use confirm::ConfirmOutcome;
pub(crate) use member::GroupMember;
pub(crate) use pool::{PoolError, PooledConnection};
pub(crate) use probe::spawn_probes;
pub(crate) use state::{GroupState, GroupTuning};
