//! Submits files of the folder: validates the merged settings and replaces the accepted revision by
//! one with the next number.

use super::attempt::{ATTEMPTS_MAX, AttemptError, retry_delay};
use super::bundle::RevisionBundle;
use super::plan::{FileConflict, WantedFile, plan_revision};
use super::prune::prune_files;
use super::read::{ReadError, read_files, read_revision};
use super::record::{
    KEEP_MARKS, REVISION_OBJECT, RevisionFile, RevisionNumber, SettingsRevision, object_name,
};
use super::refresh::refresh_file;
use crate::store::{ObjectKind, ObjectVersion, PlatformStore, StoreError};
use displaydoc::Display;
use rudder_core::{WriterMark, plain_data};
use rudder_settings::{FileName, SettingsErrors, SettingsFile, merge_folder};

plain_data! {
    /// Change to the folder that an operator submits.
    #[derive(Default)]
    pub struct FolderChange {
        /// Files to add or replace.
        pub put: Vec<SettingsFile>,
        /// Files to remove.
        pub remove: Vec<FileName>,
        /// Revision from which the operator started; `None` uses the one in force.
        pub base: Option<SettingsRevision>,
        /// Number that the new revision has to exceed, for a platform restored from an old backup.
        pub above: RevisionNumber,
    }
}

plain_data! {
    /// An accepted submission.
    pub struct SubmitOutcome {
        /// Number of the revision that contains the change.
        pub number: RevisionNumber,
        /// Whether a new revision was created; false if the change was already in force.
        pub changed: bool,
    }
}

/// Reasons why a submission was not accepted, or why its outcome is unknown.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum SubmitError {
    /// {0}
    Invalid(SettingsErrors),
    /// {0}
    FileConflict(FileConflict),
    /// the platform cannot be reached; nothing was changed, submit again later
    Unavailable,
    /// too many concurrent submissions; nothing was changed, submit again
    Busy,
    /// the response was lost and the change may be in force; check the status before submitting again
    Unresolved,
    /// {0}
    Platform(ReadError),
}

impl std::error::Error for SubmitError {}

/// Submits a change: reads the revision in force, applies the change, validates the merged settings
/// and replaces the revision by a conditional update. Retries if the revision changed meanwhile.
///
/// ```no_run
/// use rudder_store::{FolderChange, KubeStore, PlatformOptions, submit_change};
/// # async fn submit() -> Result<(), Box<dyn std::error::Error>> {
/// let store = KubeStore::connect(PlatformOptions::at("http://127.0.0.1:18001"))?;
/// let put = rudder_settings::read_folder(std::path::Path::new("examples/inanga-scores"))?;
/// let outcome = submit_change(&store, FolderChange { put, ..FolderChange::default() }).await?;
/// println!("accepted as revision {}", outcome.number);
/// # Ok(()) }
/// ```
///
/// # Errors
///
/// See [`SubmitError`]. Only after [`SubmitError::Unresolved`] the change may be in force.
pub async fn submit_change(
    store: &dyn PlatformStore,
    change: FolderChange,
) -> Result<SubmitOutcome, SubmitError> {
    let mut submitter = Submitter::new(store, change);
    let outcome = submitter.run().await?;
    // Objects that remain only take up space; the next submission tries to remove them again.
    if outcome.changed
        && let Err(error) = prune_files(store).await
    {
        log::warn!(
            target: "rudder::settings", reason:% = error;
            "failed to remove superseded settings files"
        );
    }
    Ok(outcome)
}

struct Submitter<'s> {
    store: &'s dyn PlatformStore,
    change: FolderChange,
    mark: WriterMark,
    wanted: Vec<WantedFile>,
    base: Option<SettingsRevision>,
    /// Files read in earlier attempts.
    cached: Option<RevisionBundle>,
    /// Number of the revision in an update whose outcome is unknown.
    unresolved: Option<RevisionNumber>,
}

impl<'s> Submitter<'s> {
    fn new(store: &'s dyn PlatformStore, change: FolderChange) -> Self {
        let put = change
            .put
            .iter()
            .map(|file| WantedFile { name: file.name.clone(), object: Some(object_name(file)) });
        let remove =
            change.remove.iter().map(|name| WantedFile { name: name.clone(), object: None });
        let wanted = put.chain(remove).collect();
        let base = change.base.clone();
        let mark = WriterMark::random();
        Self { store, change, mark, wanted, base, cached: None, unresolved: None }
    }

    async fn run(&mut self) -> Result<SubmitOutcome, SubmitError> {
        let mut error = SubmitError::Busy;
        for attempt in 0..ATTEMPTS_MAX {
            error = match self.attempt().await {
                Ok(outcome) => return Ok(outcome),
                Err(AttemptError::Conflict) => SubmitError::Busy,
                Err(AttemptError::Unavailable) => SubmitError::Unavailable,
                Err(AttemptError::Fatal(fatal)) => {
                    error = fatal;
                    break;
                }
            };
            tokio::time::sleep(retry_delay(attempt)).await;
        }
        // An update whose response was lost may have taken effect, regardless of later errors.
        Err(if self.unresolved.is_some() { SubmitError::Unresolved } else { error })
    }

    async fn attempt(&mut self) -> Result<SubmitOutcome, AttemptError> {
        let (version, current) = match read_revision(self.store).await? {
            Some((version, revision)) => (Some(version), revision),
            None => (None, SettingsRevision::default()),
        };
        if let Some(number) = self.find_own_revision(&current) {
            return Ok(SubmitOutcome { number, changed: true });
        }
        let base = self.base.get_or_insert_with(|| current.clone());
        let planned = plan_revision(&current, base, &self.wanted, &self.mark, self.change.above)
            .map_err(|conflict| AttemptError::Fatal(SubmitError::FileConflict(conflict)))?;
        let Some(next) = planned else {
            return Ok(SubmitOutcome { number: current.number, changed: false });
        };
        self.prepare(&current, &next).await?;
        self.update(version.as_ref(), &next).await
    }

    /// Returns the revision that an earlier attempt created although its response was lost.
    ///
    /// Without this check, a retry after a lost response would create a second revision for the
    /// same submission. Later writers keep the mark, so it is found after their updates too. If a
    /// revision of that number or shortly after lacks the mark, the update did not take effect.
    fn find_own_revision(&mut self, current: &SettingsRevision) -> Option<RevisionNumber> {
        let own_number = current.number_written_by(&self.mark);
        if let Some(attempted) = self.unresolved {
            let remembered = attempted.0..attempted.0 + KEEP_MARKS as u64;
            if own_number.is_some() || remembered.contains(&current.number.0) {
                self.unresolved = None;
            }
        }
        own_number
    }

    /// Validates the merged settings and stores the objects of the submitted files.
    async fn prepare(
        &mut self,
        current: &SettingsRevision,
        next: &SettingsRevision,
    ) -> Result<(), AttemptError> {
        let submitted = |file: &RevisionFile| {
            let mut put = self.change.put.iter();
            put.find(|submitted| {
                submitted.name == file.name && object_name(submitted) == file.object
            })
        };
        let submitted_files: Vec<SettingsFile> =
            next.files.iter().filter_map(submitted).cloned().collect();
        let others: Vec<RevisionFile> =
            next.files.iter().filter(|file| submitted(file).is_none()).cloned().collect();
        let bundle_files = read_files(self.store, &others, self.cached.as_ref()).await?;
        let mut files: Vec<SettingsFile> =
            bundle_files.iter().map(|bundled| bundled.file.clone()).collect();
        self.cached =
            Some(RevisionBundle { number: current.number, version: None, files: bundle_files });
        files.extend(submitted_files.iter().cloned());
        merge_folder(&files)
            .map_err(|refusal| AttemptError::Fatal(SubmitError::Invalid(refusal)))?;
        for file in &submitted_files {
            refresh_file(self.store, file, current.number).await?;
        }
        Ok(())
    }

    async fn update(
        &mut self,
        expected: Option<&ObjectVersion>,
        next: &SettingsRevision,
    ) -> Result<SubmitOutcome, AttemptError> {
        let spec = serde_json::to_value(next).expect("names and numbers are always JSON");
        let kind = ObjectKind::SettingsRevision;
        let result = self.store.put(kind, REVISION_OBJECT, expected, spec).await;
        if result == Err(StoreError::OutcomeUnknown) {
            self.unresolved = Some(next.number);
        }
        result?;
        Ok(SubmitOutcome { number: next.number, changed: true })
    }
}
