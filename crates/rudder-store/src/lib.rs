//! Client for the platform's object API: versioned objects, conditional updates, instance lists,
//! and the accepted revisions of the settings folder.

mod invalid;
mod kubernetes;
mod revision;
mod store;

pub use invalid::InvalidNames;
pub use kubernetes::{KubeStore, PlatformOptions};
pub use revision::{
    BundleError, BundleFile, FileConflict, FolderChange, OfferOutcome, ReadError, RevisionBundle,
    RevisionFile, RevisionFollower, RevisionNumber, SettingsRevision, SubmitError, SubmitOutcome,
    poll_revision, read_revision, submit_change,
};
pub use store::{
    InstanceEntry, InstanceReadiness, ObjectKind, ObjectVersion, PlatformStore, StoreError,
    StoredObject,
};
