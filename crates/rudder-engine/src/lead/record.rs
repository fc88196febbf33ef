//! The record of a service's primary, as the platform's store keeps it.

use rudder_core::{InstanceName, LogStamp, LogTerm, MemberName, plain_data};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Counts the versions of a record. Each is written by one instance, under the condition that the
/// one before is still in place, so it serves as fencing token: it only grows, and no two
/// instances hold the same one.
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

/// Whether a primary is in place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeadPhase {
    /// The primary may serve.
    Settled {
        /// The primary.
        primary: MemberName,
        /// Its term.
        term: LogTerm,
        /// How far its log went when it took over: all that survives of earlier terms.
        base: Option<LogStamp>,
    },
    /// An instance is changing the primary; nobody may answer for the old one.
    Changing {
        /// The instance.
        holder: InstanceName,
        /// Tells the instance's process from its earlier and later ones.
        process: u64,
        /// The primary before.
        previous: Option<MemberName>,
        /// Whether the previous primary still serves and only leaves.
        planned: bool,
    },
}

plain_data! {
    /// The record of one service.
    #[derive(Serialize, Deserialize)]
    pub struct LeadRecord {
        /// The version.
        pub epoch: LeaderEpoch,
        /// Unique to the write, so that a writer whose answer was lost knows its own work.
        pub mark: String,
        /// Whether a primary is in place.
        pub phase: LeadPhase,
    }
}

impl LeadRecord {
    /// The primary, while one is in place.
    pub(crate) fn primary(&self) -> Option<&MemberName> {
        match &self.phase {
            LeadPhase::Settled { primary, .. } => Some(primary),
            LeadPhase::Changing { .. } => None,
        }
    }

    /// What a session must see after the change of primary that this record tells of.
    ///
    /// Guards against a session that waits for ever: its commit was cut off when a member that
    /// lacked it was promoted, so no log will ever reach that position again.
    pub(crate) fn reachable(&self, floor: LogStamp) -> LogStamp {
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
