//! Tests of what instances know of each other.

mod entries;
mod fleet_copy;
mod list_change;
mod message;
mod offset;
mod readers;
mod subscribers;
