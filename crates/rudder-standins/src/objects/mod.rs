//! In-memory stand-in for the objects API of the users' platform and its promotion call.

mod routes;
mod state;

pub use state::{ObjectsCall, ObjectsFault, ObjectsStandin, PromotionRequest, PromotionSink};
