//! What became of one request, from the log lines of all instances.
//!
//! Pure: lines come in as text, from wherever they were collected.

mod account;
mod advice;
mod line;

pub(crate) use account::{AccountBuilder, AccountError};
