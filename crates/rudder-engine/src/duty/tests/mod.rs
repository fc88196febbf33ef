//! Tests of the control work.

mod change;
mod fixture;
mod registry;
