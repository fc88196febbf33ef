//! Serves one caller: login, batches, responses, and the session state that is kept across member
//! connections.

mod acknowledge;

mod attempt;
mod cancel;
mod collect;
mod keyed;
mod local;
mod login;
mod proxy_batch;
mod read;
mod response;
mod serve;
mod session;
mod session_change;
#[cfg(test)]
mod tests;
mod transaction;
mod write;

pub(crate) use cancel::CancelRegistry;
pub(crate) use response::put_fatal;
pub(crate) use serve::serve_caller;
