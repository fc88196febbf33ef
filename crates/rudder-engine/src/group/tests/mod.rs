//! Tests of connections: what they hold, how many there are, who gets one.

mod image;
mod pool;
mod share;
