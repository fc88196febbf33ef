//! Budget of bytes per second that an instance may send to its peers.

mod bucket;
#[cfg(test)]
mod tests;

pub(crate) use bucket::{DATAGRAM_OVERHEAD_BYTES, SendClass, TokenBucket};
