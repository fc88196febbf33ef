//! In-process simulator of a replicated database group. Its members have terms, a replication log
//! and execution slots, and serve the PostgreSQL 3.0 protocol.

mod handle;
mod knob;
mod log;
mod member;
mod replication;
mod settings;
mod slots;
mod sql;
mod state;
mod tables;
mod wire;

pub use handle::{GroupError, GroupStandin};
pub use knob::{MemberKnob, ServiceDistribution};
pub use settings::{GroupSettings, MemberSettings};
