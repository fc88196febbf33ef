//! A stand-in for a database group: members with terms, a replication log and slots, which speak
//! PostgreSQL 3.0.

mod answer;
mod cache;
mod cancel;
mod client;
mod connection;
mod copy;
mod database;
mod describe;
mod encode;
mod error;
mod extended;

mod handle;
mod knob;
mod log;
mod login;
mod member;
mod parse;
mod parse_control;
mod parse_scalar;
mod parse_select;
mod parse_table;
mod plan;
mod replication;
mod run;
mod run_insert;
mod scalar;
mod session;
mod session_settings;
mod settings;
mod simple;
mod slots;
mod state;
mod transaction;
mod value;

pub use handle::{GroupError, GroupStandin};
pub use knob::{MemberKnob, ServiceSpread};
pub use settings::{GroupSettings, MemberSettings};
