//! Membership of instances: probing, suspicion, refutation and dissemination of updates.
//!
//! Information from peers only decides which instance to probe next. An instance is removed only
//! after it failed to acknowledge a probe of this instance, and it becomes live again only with a
//! greater incarnation, which only that instance can choose.

mod action;
mod merging;
mod probe;
mod probing;
mod settings;
mod state;
mod table;
mod updates;

pub(crate) use action::PeerAction;
pub(crate) use settings::MembershipSettings;
pub(crate) use state::Membership;
