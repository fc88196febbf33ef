//! Supervises one service's group: probes its members, replaces a failed primary, and repoints
//! members that do not follow the primary.
//!
//! The decision logic is in `rudder_core`. This module sends the control statements, supplies the
//! time, and publishes the observed state as a [`GroupView`].

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
