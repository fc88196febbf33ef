//! Sizes, counts and rates.

use crate::derive::number_type;
use serde::{Deserialize, Serialize};

number_type! {
    /// A size in bytes.
    ByteSize(u64)
}
number_type! {
    /// Number of statements that a member runs concurrently.
    SlotCount(u32)
}
number_type! {
    /// Number of connections that a member accepts from all instances together.
    ConnectionCount(u32)
}
number_type! {
    /// Requests per second.
    RequestRate(u64)
}
number_type! {
    /// Speed of a member's hardware in percent of the reference member.
    MemberSpeed(u32)
}
