//! Tests of what instances know of each other.

mod readers;
mod seats;
