//! A stand-in for a database group: members with terms, a replication log and slots, which speak
//! PostgreSQL 3.0.

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
pub use knob::{MemberKnob, ServiceSpread};
pub use settings::{GroupSettings, MemberSettings};
