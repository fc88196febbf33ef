//! Tests of the state that instances exchange.

mod entries;
mod fleet_copy;
mod list_change;
mod message;
mod offset;
mod readers;
mod record_copy;
mod roles;
mod subscribers;
