//! Digest of the record versions that an instance knows.

use crate::lead::LeaderEpoch;
use rudder_core::ServiceName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Digest that is equal if two instances know the same versions of all records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordsDigest(u64);

impl RecordsDigest {
    /// Returns the digest of versions that are sorted by service.
    pub(crate) fn of<'a>(versions: impl Iterator<Item = (&'a ServiceName, LeaderEpoch)>) -> Self {
        let mut hash = Xxh3::new();
        for (service, epoch) in versions {
            hash.update(service.as_str().as_bytes());
            // No name contains this byte, so different lists never yield the same input.
            hash.update(&[0]);
            hash.update(&epoch.0.to_le_bytes());
        }
        Self(hash.digest())
    }
}
