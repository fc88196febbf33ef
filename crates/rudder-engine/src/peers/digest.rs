//! Digest of the record versions that an instance knows.

use crate::lead::LeaderEpoch;
use rudder_core::ServiceName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Digest that is equal if two instances know the same versions of the same records, in whichever
/// order they are added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordsDigest(u64);

impl RecordsDigest {
    /// Returns the digest of one version of one record.
    pub(crate) fn of_record(service: &ServiceName, epoch: LeaderEpoch) -> Self {
        let mut hash = Xxh3::new();
        hash.update(service.as_str().as_bytes());
        // No name contains this byte, so different versions never yield the same input.
        hash.update(&[0]);
        hash.update(&epoch.0.to_le_bytes());
        Self(hash.digest())
    }

    /// Returns the digest without the records of another one, which it contains.
    pub(crate) fn without(self, other: Self) -> Self {
        Self(self.0.wrapping_sub(other.0))
    }

    /// Returns the digest of the records of both.
    pub(crate) fn and(self, other: Self) -> Self {
        Self(self.0.wrapping_add(other.0))
    }
}
