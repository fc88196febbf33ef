//! Tests of the platform's package against the stand-in over HTTP.

mod common;
mod following;
mod racing;
mod store;
mod submission;
