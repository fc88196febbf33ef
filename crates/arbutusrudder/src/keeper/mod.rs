//! Keeps one service's group: watches its members, replaces a lost primary, repairs followers.
//!
//! The decisions stand in `rudder_core`; this module sends their statements, holds the clock, and
//! publishes what it found as a [`GroupView`].

mod config;
mod controls;
mod decision;
mod exchange;
mod grant_client;
mod group_keeper;
mod orders;
mod platform_calls;
mod promotion;
mod report_table;
mod schedule;
mod switch;
mod timeouts;
mod traffic;
mod view;

#[cfg(test)]
mod tests;

pub(crate) use config::{KeeperConfig, KeeperMember, rank_by_preference};
pub(crate) use exchange::{KeeperEntry, KeeperRanking, ObserverExchange};
pub(crate) use group_keeper::{KeeperHandle, spawn_keeper};
pub(crate) use traffic::TrafficReport;
