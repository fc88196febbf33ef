//! Tests of members and connections: who is known, what they hold, how many there are, who gets one.

mod link_session;
mod pool;
mod service;
