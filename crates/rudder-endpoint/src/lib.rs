//! Connections to the members (endpoints) of a database group.
//!
//! Frames of the PostgreSQL protocol are split and relayed without being decoded. Only logins,
//! status rows and error fields are parsed; logins with `postgres-protocol`.

mod channel;
mod connection;
mod control;
mod login;
mod status;
mod wire;

pub use channel::ControlChannel;
pub use connection::{CancelTarget, MemberAddress, MemberConnection};
pub use control::{ControlError, MemberControl};
pub use login::{EndpointError, LoginSettings};
pub use status::{ErrorFields, parse_status_row, read_error_fields, superseded_term};
pub use wire::{FramePart, LinkStream, StartupPacket, WireError, WireFrame, WireLink, tag};
