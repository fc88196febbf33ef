//! End-to-end tests on loopback with client libraries, proxies, stand-in groups and a stand-in
//! platform.

mod abuse;
mod common;
mod copy;
mod faults;
mod isolation;
mod leaving;
mod login;
mod path;
mod raw;
mod statements;
mod superseded;
