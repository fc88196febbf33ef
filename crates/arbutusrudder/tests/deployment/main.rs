//! Tests of whole deployments on loopback: client libraries, proxies, groups and the platform.

mod common;
mod copy;
mod faults;
mod isolation;
mod leaving;
mod path;
mod raw;
mod statements;
