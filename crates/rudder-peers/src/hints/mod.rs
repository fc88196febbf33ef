//! Hints exchanged between instances about groups, members and settings.

mod cache;
mod hint;
#[cfg(test)]
mod tests;

pub(crate) use cache::HintCache;
pub(crate) use hint::HintUrgency;
pub use hint::{
    GroupHint, HintMessage, LeavingNotice, LeavingSubject, MemberSample, PeerHint, RevisionHint,
    SuspicionVote,
};
