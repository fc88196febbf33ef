//! Client sessions over the PostgreSQL 3.0 protocol.

pub(crate) mod block;
pub(crate) mod cancel;
pub(crate) mod client;
pub(crate) mod connection;
pub(crate) mod copy;
pub(crate) mod encode;
pub(crate) mod extended;
pub(crate) mod login;
pub(crate) mod session;
pub(crate) mod session_settings;
pub(crate) mod simple;
