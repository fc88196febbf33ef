//! Serving one caller: login, batches, the session that outlives connections, and the answers.

mod acknowledge;
mod answer;
mod attempt;
mod cancel;
mod collect;
mod keyed;
mod local;
mod login;
mod own_batch;
mod read;
mod serve;
mod session;
mod session_change;
#[cfg(test)]
mod tests;
mod transaction;
mod write;

pub(crate) use answer::put_fatal;
pub(crate) use cancel::CancelBoard;
pub(crate) use serve::serve_caller;
