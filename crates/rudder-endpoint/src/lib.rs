//! Connections to the members (endpoints) of a database group.

mod control;

pub use control::{ControlError, MemberControl};
