//! `submit`: submits a folder's files to the platform as a new revision.

use crate::base::{read_base, write_base};
use crate::error::CommandError;
use crate::options::SubmitOptions;
use crate::output::CommandReport;
use rudder_settings::{SettingsFile, read_folder};
use rudder_store::{
    FolderChange, KubeStore, RevisionNumber, SettingsRevision, SubmitOutcome, submit_change,
};
use serde::Serialize;
use std::fmt;

/// Result of a submitted change, for every command that submits one.
#[derive(Serialize)]
pub(crate) struct AcceptedReport {
    revision: RevisionNumber,
    changed: bool,
}

impl From<SubmitOutcome> for AcceptedReport {
    fn from(outcome: SubmitOutcome) -> Self {
        Self { revision: outcome.number, changed: outcome.changed }
    }
}

impl fmt::Display for AcceptedReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changed {
            write!(f, "accepted as revision {}", self.revision)
        } else {
            write!(f, "nothing to change: revision {} has it already", self.revision)
        }
    }
}

pub(crate) async fn submit(options: &SubmitOptions) -> Result<CommandReport, CommandError> {
    let files = read_files_to_submit(options)?;
    let base = read_base(&options.folder)?;
    let fetched = base.is_some();
    let store = KubeStore::connect(options.platform.clone())?;
    let change = FolderChange {
        put: files.clone(),
        remove: options.remove.clone(),
        base,
        above: options.above,
    };
    let outcome = submit_change(&store, change).await?;
    if fetched {
        write_base(&options.folder, &SettingsRevision::of_files(outcome.number, &files))?;
    }
    Ok(CommandReport::done(&AcceptedReport::from(outcome)))
}

/// Reads the folder's files, except those to be removed.
fn read_files_to_submit(options: &SubmitOptions) -> Result<Vec<SettingsFile>, CommandError> {
    let mut files = read_folder(&options.folder)?;
    files.retain(|file| !options.remove.contains(&file.name));
    Ok(files)
}
