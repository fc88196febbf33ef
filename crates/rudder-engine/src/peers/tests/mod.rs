//! Tests of what instances know of each other.

mod entries;
mod fleet_copy;
mod message;
mod offset;
mod readers;
mod subscribers;
