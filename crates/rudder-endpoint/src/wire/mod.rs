//! Splits a byte stream into protocol frames, and sends frames without copying rows.

mod frame;
mod link;
pub mod tag;

pub use frame::{FramePart, StartupPacket, WireError, WireFrame};
pub use link::{LinkStream, WireLink};
