//! The objects API of the users' platform, and its promotion call, in memory.

mod routes;
mod state;

pub use state::{ObjectsCall, ObjectsFault, ObjectsStandin, PromotionSink};
