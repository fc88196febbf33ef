//! What became of one request, from the log lines of all instances.
//!
//! Pure: lines come in as text, from wherever they were collected.

mod advice;
mod line;
mod report;

pub(crate) use report::{ReportBuilder, ReportError};
