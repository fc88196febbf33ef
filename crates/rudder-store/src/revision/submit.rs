//! Submitting files of the folder: the whole merge is checked, then the number grows by one.

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
use rudder_settings::{FileName, SettingsFile, SettingsRefusal, merge_folder};

plain_data! {
    /// What an operator wants changed in the folder.
    #[derive(Default)]
    pub struct FolderChange {
        /// Files to add or replace.
        pub put: Vec<SettingsFile>,
        /// Files to remove.
        pub remove: Vec<FileName>,
        /// The revision from which the operator started; none takes the one now in force.
        pub base: Option<SettingsRevision>,
        /// The new number is greater than this one too; for a platform restored from an old copy.
        pub above: RevisionNumber,
    }
}

plain_data! {
    /// An accepted submission.
    pub struct SubmitOutcome {
        /// The revision that holds the change.
        pub number: RevisionNumber,
        /// Whether a new revision was made; false when everything stood so already.
        pub changed: bool,
    }
}

/// Why a submission was not accepted, or is not known to be.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum SubmitError {
    /// {0}
    Invalid(SettingsRefusal),
    /// {0}
    FileConflict(FileConflict),
    /// the platform cannot be reached; nothing was changed, submit again later
    Unavailable,
    /// other operators submit all the time; nothing was changed, submit again
    Busy,
    /// the answer was lost and the change may be in force; look at the status before submitting again
    Unresolved,
    /// {0}
    Platform(ReadError),
}

impl std::error::Error for SubmitError {}

/// Submits a change: reads the revision in force, lays the change over it, checks the whole merge
/// and replaces the revision if it is still the same; otherwise starts over.
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
/// See [`SubmitError`]. Only [`SubmitError::Unresolved`] leaves open whether the change is in force.
pub async fn submit_change(
    store: &dyn PlatformStore,
    change: FolderChange,
) -> Result<SubmitOutcome, SubmitError> {
    let mut submitter = Submitter::new(store, change);
    let outcome = submitter.run().await?;
    // What is left behind costs space only; the next submission tries again.
    if outcome.changed
        && let Err(error) = prune_files(store).await
    {
        log::warn!(target: "rudder::settings", reason:% = error; "old settings files stay");
    }
    Ok(outcome)
}

struct Submitter<'s> {
    store: &'s dyn PlatformStore,
    change: FolderChange,
    mark: WriterMark,
    wanted: Vec<WantedFile>,
    base: Option<SettingsRevision>,
    /// Texts read in earlier attempts.
    cached: Option<RevisionBundle>,
    /// The number of an update that was sent and whose effect is not known.
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
                Err(AttemptError::Fatal(refusal)) => {
                    error = refusal;
                    break;
                }
            };
            tokio::time::sleep(retry_delay(attempt)).await;
        }
        // An update whose answer was lost may still be in force, whatever came after it.
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
            .map_err(|refusal| AttemptError::Fatal(SubmitError::FileConflict(refusal)))?;
        let Some(next) = planned else {
            return Ok(SubmitOutcome { number: current.number, changed: false });
        };
        self.prepare(&current, &next).await?;
        self.update(version.as_ref(), &next).await
    }

    /// The revision that an earlier attempt made although its answer was lost.
    ///
    /// Guards against two revisions for one submission: the platform applied the update, and the
    /// writer saw only a broken connection. Later writers keep the mark, so it is found also after
    /// others came; a revision of that number without the mark shows that the update was lost.
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

    /// Checks the whole merge and puts this operator's files where readers will look for them.
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
        if result == Err(StoreError::Unresolved) {
            self.unresolved = Some(next.number);
        }
        result?;
        Ok(SubmitOutcome { number: next.number, changed: true })
    }
}
