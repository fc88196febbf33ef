//! The budget of bytes per second that an instance spends on its peers.

mod bucket;
#[cfg(test)]
mod tests;

pub(crate) use bucket::{DATAGRAM_OVERHEAD_BYTES, SendClass, TokenBucket};
