//! Tests of the control work.

mod answers;
mod change;
mod fixture;
mod records;
mod registry;
mod schedule;
mod settings;
