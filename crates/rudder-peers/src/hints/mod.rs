//! What instances tell each other about groups, members and settings.

mod board;
mod hint;
#[cfg(test)]
mod tests;

pub(crate) use board::HintBoard;
pub(crate) use hint::HintUrgency;
pub use hint::{
    GroupHint, HintMessage, LeavingNotice, LeavingSubject, MemberSample, PeerHint, RevisionHint,
    SuspicionVote,
};
