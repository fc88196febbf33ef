//! Reports the outcome of one request from the log lines of all instances.
//!
//! Performs no I/O: the command passes in the collected lines as text.

mod advice;
mod line;
mod notes;
mod report;

pub(crate) use report::{ReportBuilder, ReportError};
