//! Messages of the model.

use crate::lead::{LeadRecord, LeaderEpoch};
use std::time::Duration;

/// Message between instances, or from the store.
#[derive(Clone, Debug)]
pub(super) enum Message {
    /// Response of the store or a peer to a process.
    Record {
        to: usize,
        process: u64,
        record: LeadRecord,
        confirmed_at: Duration,
        from_store: bool,
    },
    Request {
        to: usize,
        from: usize,
        process: u64,
        request_sent_at: Duration,
        request_id: u64,
    },
    Confirm {
        to: usize,
        from: usize,
        process: u64,
        request_sent_at: Duration,
        request_id: u64,
        epoch: LeaderEpoch,
    },
    Announce {
        to: usize,
        from: usize,
        record: LeadRecord,
    },
    Stopped {
        to: usize,
        from: usize,
        epoch: u64,
    },
    /// Response of the store to the process that wrote its entry.
    Registered {
        to: usize,
        process: u64,
        written_at: Duration,
    },
}

impl Message {
    /// Returns the receiving instance.
    pub(super) fn receiver(&self) -> usize {
        match self {
            Self::Record { to, .. }
            | Self::Request { to, .. }
            | Self::Confirm { to, .. }
            | Self::Announce { to, .. }
            | Self::Stopped { to, .. }
            | Self::Registered { to, .. } => *to,
        }
    }

    /// Returns the process that sent the request, if this is a response.
    pub(super) fn requester(&self) -> Option<u64> {
        match self {
            Self::Record { process, .. }
            | Self::Confirm { process, .. }
            | Self::Registered { process, .. } => Some(*process),
            Self::Request { .. } | Self::Announce { .. } | Self::Stopped { .. } => None,
        }
    }

    /// Returns whether an instance sent the message, rather than the store.
    pub(super) fn is_between_peers(&self) -> bool {
        !matches!(self, Self::Record { from_store: true, .. } | Self::Registered { .. })
    }
}
