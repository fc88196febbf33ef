//! Tests of the platform's package against the stand-in over HTTP.

mod common;
mod concurrency;
mod following;
mod store;
mod submission;
