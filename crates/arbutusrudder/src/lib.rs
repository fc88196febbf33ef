//! The proxy.

#![allow(dead_code, unused_imports)]
mod classify;
mod exchange;
mod group;
pub use classify::classify_text;
