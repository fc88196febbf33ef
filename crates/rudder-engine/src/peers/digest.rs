//! What an instance knows of records, in one number.

use crate::lead::LeaderEpoch;
use rudder_core::ServiceName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Tells whether two instances know the same versions of all records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RecordsDigest(u64);

impl RecordsDigest {
    /// The digest of versions that are sorted by service.
    pub(crate) fn of<'a>(versions: impl Iterator<Item = (&'a ServiceName, LeaderEpoch)>) -> Self {
        let mut hash = Xxh3::new();
        for (service, epoch) in versions {
            hash.update(service.as_str().as_bytes());
            // No name holds it, so that two lists never run together to the same bytes.
            hash.update(&[0]);
            hash.update(&epoch.0.to_le_bytes());
        }
        Self(hash.digest())
    }
}
