//! Record of a service's primary, as kept in the platform's store.

use rudder_core::{InstanceName, LogStamp, LogTerm, MemberName, plain_data};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Version number of a record. Each version is written by one instance, on condition that the
/// previous one is still in place. It therefore serves as a fencing token: it only increases, and
/// no two instances hold the same one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LeaderEpoch(pub u64);

impl LeaderEpoch {
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for LeaderEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

plain_data! {
    /// Order to promote a member that may have been sent.
    #[derive(Serialize, Deserialize)]
    pub struct MemberOrder {
        /// The member.
        pub member: MemberName,
        /// Version of the record under which it was last ordered.
        pub epoch: LeaderEpoch,
    }
}

/// State of a service's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeadPhase {
    /// A primary is in place and may serve.
    Settled {
        /// The primary.
        primary: MemberName,
        /// Term of the primary.
        term: LogTerm,
        /// Position at which its log ended when it took over. Entries of earlier terms beyond it
        /// are lost.
        base: Option<LogStamp>,
    },
    /// An instance is changing the primary; no instance may respond for the old one.
    Changing {
        /// Instance that carries out the change.
        holder: InstanceName,
        /// Identifier that distinguishes the holder's process from its earlier and later ones.
        process: u64,
        /// Primary before the change.
        previous: Option<MemberName>,
        /// Whether the previous primary is draining and can still report its position, so that a
        /// successor has to catch up with it before the promotion.
        planned: bool,
    },
}

plain_data! {
    /// Record of one service.
    #[derive(Serialize, Deserialize)]
    pub struct LeadRecord {
        /// Version of the record.
        pub epoch: LeaderEpoch,
        /// Value unique to the write, by which a writer whose response was lost recognizes its own
        /// write.
        pub mark: String,
        /// State of the primary.
        pub phase: LeadPhase,
        /// Orders that may still take effect, sorted by member. Each is written before it is sent,
        /// so that an instance that takes over knows of it.
        #[serde(default)]
        pub orders: Vec<MemberOrder>,
    }
}

impl LeadRecord {
    /// Returns the primary, if one is in place.
    pub(crate) fn primary(&self) -> Option<&MemberName> {
        match &self.phase {
            LeadPhase::Settled { primary, .. } => Some(primary),
            LeadPhase::Changing { .. } => None,
        }
    }

    /// Limits `floor`, the position that a session must read, to what survived the change of
    /// primary in this record.
    ///
    /// With an unlimited floor, a session could wait forever: if its commit was lost because a
    /// member without it was promoted, no log reaches that position again.
    pub(crate) fn clamp_floor(&self, floor: LogStamp) -> LogStamp {
        match &self.phase {
            LeadPhase::Settled { term, base: Some(base), .. }
                if floor.term < *term && floor.position > base.position =>
            {
                *base
            }
            _ => floor,
        }
    }
}
