//! How many operations of a client account may run, over all instances.
//!
//! Load pattern: an account's operations arrive at every instance, a few a second at each, and its
//! limit holds for all of them together. Equal shares refuse an account far below its limit, because
//! its callers are spread unevenly; counting without a common place lets an account that sends many
//! times its usual run many times its limit.
//!
//! So one instance counts for an account: the first by a hash over the list of instances. Each
//! operation is claimed there before it runs. When that one is lost the next in the order takes
//! over, at first with a small reserve, and in full once the lost one must have noticed that it is
//! cut off. No new owner starts with a full burst, as the one before may just have granted it.

mod bucket;
mod ledger;
mod owners;
mod plan;
mod watch;

pub use bucket::{OperationBucket, OperationLimit};
pub use ledger::{ClaimVerdict, FleetContact, LimitBounds, LimitLedger, OwnerRole};
pub use owners::rank_owners;
pub use plan::{ClaimPlan, RecentNotes};
pub use watch::{OwnerState, OwnerWatch};
