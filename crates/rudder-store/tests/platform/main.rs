//! Tests of the platform store and of settings revisions against a stand-in platform over HTTP.

mod common;
mod concurrency;
mod following;
mod store;
mod submission;
