//! Tests of the control work.

mod change;
mod fixture;
mod records;
mod registry;
mod settings;
mod turn;
