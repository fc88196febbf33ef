//! Tests of whole deployments on loopback: client libraries, proxies, groups and the platform.

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
