//! Tests of whole deployments on loopback: client libraries, proxies, groups and the platform.

mod abuse;
mod common;
mod copy;
mod isolation;
mod login;
mod path;
mod raw;
mod statements;
