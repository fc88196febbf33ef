//! Tests of the background tasks.

mod answers;
mod change;
mod earlier_primaries;
mod fixture;
mod holders;
mod loans;
mod records;
mod registry;
mod schedule;
mod settings;
mod shares;
mod sync_replicas;
