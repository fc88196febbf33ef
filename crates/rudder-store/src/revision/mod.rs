//! Accepted revisions of the operators' settings folder: submitting, reading and following them.

mod attempt;
mod bundle;
mod follow;
mod plan;
mod prune;
mod read;
mod record;
mod refresh;
mod submit;

pub use bundle::{BundleError, BundleFile, RevisionBundle};
pub use follow::{OfferOutcome, RevisionFollower};
pub use plan::FileConflict;
pub use read::{ReadError, poll_revision, read_revision};
pub use record::{RevisionFile, RevisionNumber, SettingsRevision};
pub use submit::{FolderChange, SubmitError, SubmitOutcome, submit_change};
