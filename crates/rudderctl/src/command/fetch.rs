//! `fetch`: writes the accepted settings files into a folder.

use crate::base::{read_base, remove_file, unwritable, write_base, write_file};
use crate::error::CommandError;
use crate::options::FetchOptions;
use crate::output::CommandReport;
use crate::platform::accepted_bundle;
use rudder_settings::{FileName, FolderError, SettingsFile, read_folder};
use rudder_store::{KubeStore, RevisionFile, RevisionNumber, SettingsRevision};
use serde::Serialize;
use std::fmt;
use std::path::Path;

#[derive(Serialize)]
struct FetchReport {
    revision: RevisionNumber,
    files: Vec<String>,
}

impl fmt::Display for FetchReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "fetched revision {}: {}", self.revision, self.files.join(", "))
    }
}

pub(crate) async fn fetch(options: &FetchOptions) -> Result<CommandReport, CommandError> {
    let store = KubeStore::connect(options.platform.clone())?;
    let bundle = accepted_bundle(&store).await?;
    let folder = &options.folder;
    std::fs::create_dir_all(folder).map_err(|error| unwritable(folder, &error))?;
    let files: Vec<SettingsFile> = bundle.files.into_iter().map(|bundled| bundled.file).collect();
    let accepted = SettingsRevision::of_files(bundle.number, &files);
    let outdated = outdated_files(folder, &accepted)?;
    for file in &files {
        write_file(&folder.join(file.name.as_str()), &file.text)?;
    }
    for name in &outdated {
        remove_file(&folder.join(name.as_str()))?;
    }
    write_base(folder, &accepted)?;
    let names = files.iter().map(|file| file.name.to_string()).collect();
    Ok(CommandReport::done(&FetchReport { revision: bundle.number, files: names }))
}

/// Returns the folder's files that were accepted earlier and no longer are.
///
/// Fails if a file differs both from its fetched and from its accepted version, because writing or
/// removing it would lose an operator's edits. Nothing is written in that case.
fn outdated_files(
    folder: &Path,
    accepted: &SettingsRevision,
) -> Result<Vec<FileName>, CommandError> {
    let local = match read_folder(folder) {
        Ok(files) => SettingsRevision::of_files(accepted.number, &files),
        Err(FolderError::Empty(_)) => SettingsRevision::default(),
        Err(error) => return Err(error.into()),
    };
    let base = read_base(folder)?.unwrap_or_default();
    let is_edited = |file: &&RevisionFile| {
        let accepted_object = accepted.object(&file.name);
        let base_object = base.object(&file.name);
        let local_object = Some(file.object.as_str());
        local_object != accepted_object
            && local_object != base_object
            && (accepted_object.is_some() || base_object.is_some())
    };
    let edited: Vec<String> =
        local.files.iter().filter(is_edited).map(|file| file.name.to_string()).collect();
    if !edited.is_empty() {
        return Err(CommandError::LocalChanges(edited.join(", ")));
    }
    let is_outdated = |file: &&RevisionFile| {
        accepted.object(&file.name).is_none() && base.object(&file.name).is_some()
    };
    Ok(local.files.iter().filter(is_outdated).map(|file| file.name.clone()).collect())
}
