//! The proxy.

#![allow(dead_code, unused_imports)]
mod classify;
pub use classify::classify_text;
