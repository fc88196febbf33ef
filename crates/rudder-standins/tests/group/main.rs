//! Tests of the database group stand-in, with standard PostgreSQL clients.

#[cfg(test)]
mod protocol;
#[cfg(test)]
mod raw;
#[cfg(test)]
mod replication;
#[cfg(test)]
mod resources;
#[cfg(test)]
mod statements;
#[cfg(test)]
mod support;
#[cfg(test)]
mod transactions;
