//! Keeps one service's group: watches its members, replaces a lost primary, repairs followers.
//!
//! The decisions stand in `rudder_core`; this module sends their statements, holds the clock, and
//! publishes what it found as a [`GroupView`].

mod bounds;
mod config;
mod controls;
mod decision;
mod event;
mod exchange;
mod grant_client;
mod group_keeper;
mod member_book;
mod orders;
mod platform_calls;
mod promotion;
mod schedule;
mod switch;
mod view;

#[cfg(test)]
mod tests;

pub(crate) use config::{KeeperConfig, KeeperMember, prefer_members};
pub(crate) use event::TrafficNote;
pub(crate) use exchange::{KeeperEntry, KeeperRoster, ObserverExchange};
pub(crate) use group_keeper::{KeeperHandle, spawn_keeper};
