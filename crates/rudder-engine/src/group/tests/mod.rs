//! Tests of members and connections: who is known, what they hold, how many there are, who gets one.

mod image;
mod pool;
mod service;
