//! Tests of what instances know of each other.

mod entries;
mod readers;
