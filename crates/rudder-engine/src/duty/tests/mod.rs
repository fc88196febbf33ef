//! Tests of the background tasks.

mod answers;
mod change;
mod fixture;
mod records;
mod registry;
mod schedule;
mod settings;
