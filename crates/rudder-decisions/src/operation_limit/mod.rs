//! Rate limit of a client account's operations over all instances.
//!
//! Load pattern: an account's operations arrive at all instances, a few per second at each, and its
//! limit applies to their sum. Equal shares per instance refuse an account far below its limit,
//! because its callers are spread unevenly; counting at each instance alone lets an account that
//! sends many times its usual load run many times its limit.
//!
//! One instance, the owner, therefore counts the operations of an account: the first by a hash over
//! the list of instances. Each operation is claimed at the owner before it runs. If the owner
//! fails, the next instance in the order takes over: first with a small reserve, and in full once
//! the failed owner must have detected that it is cut off. No new owner starts with a full burst,
//! as the previous owner may just have granted one.
//!
//! Links between single instances fail as well, and a store serves some instances and not others. A
//! successor therefore counts an owner as silent only if relays in other domains do not reach it
//! either, and claimants report which owner last decided their claims. Where no relay connects two
//! owners, each of them grants a part of the limit that corresponds to its part of the fleet.

mod bucket;
mod claim_queue;
mod evidence;
mod ledger;
mod limit_queues;
mod owners;
mod plan;
mod reach;
mod reservation;
mod role;
mod watch;

pub use bucket::{OperationBucket, OperationLimit, TokenSupply};
pub use claim_queue::{ClaimRejection, ClaimTerms, QueueOutcome};
pub use evidence::GrantLog;
pub use ledger::{ClaimDecision, LimitBounds, LimitLedger};
pub use limit_queues::{ClaimScope, LimitQueues, QueueNotice};
pub use owners::{choose_relays, rank_owners};
pub use plan::{ClaimPlan, ExpiringSet};
pub use reach::{DomainCount, FleetReach, ReachBoard, ReachReport};
pub use reservation::{PromisedTokens, ReservationTally};
pub use role::{FleetContact, OwnerRole};
pub use watch::{OwnerState, OwnerWatch};
