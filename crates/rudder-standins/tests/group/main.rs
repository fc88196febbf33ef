//! Tests of the database group's stand-in, by unmodified clients.

mod replication;
mod statements;
#[cfg(test)]
mod support;
