//! Which instances hold the connections of a client account to a member.
//!
//! Load pattern: a connection serves one account, and instances times accounts exceed the
//! connections that a member accepts (88 x 86 against 70). If every instance opens its own, it
//! rarely finds one of the right account: 94 of 100 statements open a connection, each of which
//! occupies a slot for 12 ms for 3 to 15 ms of work and costs two more round trips.
//!
//! Each account therefore has few holders for each service ([`rank_holders`]), near the member.
//! The other instances forward to the first one that is usable ([`forward_choice`]); only holders
//! keep idle connections ([`HolderBudget`]). An account whose load exceeds its first holder is
//! served by the next ones as well ([`HolderBoard`]).

mod board;
mod budget;
mod capacity;
mod choice;
mod rank;
mod rule;

pub use board::HolderBoard;
pub use budget::HolderBudget;
pub use capacity::InstanceCapacity;
pub use choice::{ForwardChoice, HOLDERS_MAX, LocalPool, forward_choice};
pub use rank::{HolderCandidate, rank_holders};
pub use rule::ForwardingRule;
