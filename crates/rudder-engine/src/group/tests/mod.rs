//! Tests of the membership of a service, connection pools, and session state on connections.

mod budget;
mod commit_model;
mod departures;
mod link_session;
mod loan;
mod pool;
mod service;
