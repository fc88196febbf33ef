//! Tests of the background tasks.

mod answers;
mod authority;
mod change;
mod fixture;
mod loans;
mod records;
mod registry;
mod schedule;
mod settings;
