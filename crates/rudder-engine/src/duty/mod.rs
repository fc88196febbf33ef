//! Background tasks of an instance: heartbeats, registration, records and changes of primary.

mod answers;
mod candidates;
mod change;
mod change_plan;
mod control;
mod drain;
mod heartbeat;
mod holders;
mod keeper;
mod loans;
mod promote;
mod record_write;
mod records;
mod registry;
mod schedule;
mod start;
mod status;
mod watch;

pub use drain::stop_engine;
pub use start::{EngineTiming, start_engine};
pub(crate) use watch::request_sample;

#[cfg(test)]
mod tests;
