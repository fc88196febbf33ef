//! Driver of the state machines: one UDP socket and one TCP listener.

mod client;
mod command;
mod driver;
mod error;
mod fetch;
mod frame;
mod handle;
mod server;
mod settings;

pub use error::{MeshError, PeerError};
pub use handle::PeerMesh;
pub use settings::MeshSettings;
