//! Which instances there are: probing, suspicion, refutation and the spread of news.
//!
//! The rule that keeps this calm: hearsay only decides whom to probe next. An instance is held to
//! be gone only after it did not answer this instance itself, and is live again only with a greater
//! incarnation, which it alone can choose.

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
