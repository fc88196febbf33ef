//! Base of a settings folder: the revision that it held when it was last fetched or submitted.

use crate::error::CommandError;
use rudder_store::SettingsRevision;
use std::io;
use std::path::{Path, PathBuf};

/// Name of the base file; hidden, so that it is not read as a settings file.
const BASE_FILE: &str = ".rudder-base.json";

/// Reads the base of a folder; `None` if the folder was never fetched.
pub(crate) fn read_base(folder: &Path) -> Result<Option<SettingsRevision>, CommandError> {
    let path = base_path(folder);
    let damaged =
        |reason: String| CommandError::DamagedBase { path: path.display().to_string(), reason };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(damaged(error.to_string())),
    };
    serde_json::from_str(&text).map(Some).map_err(|error| damaged(error.to_string()))
}

/// Records the base of a folder.
pub(crate) fn write_base(folder: &Path, base: &SettingsRevision) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(base).expect("names and numbers are always JSON");
    write_file(&base_path(folder), &text)
}

/// Writes a file and converts the error.
pub(crate) fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|error| unwritable(path, &error))
}

/// Removes a file and converts the error.
pub(crate) fn remove_file(path: &Path) -> Result<(), CommandError> {
    std::fs::remove_file(path).map_err(|error| unwritable(path, &error))
}

/// Returns the error for a path that cannot be written.
pub(crate) fn unwritable(path: &Path, error: &io::Error) -> CommandError {
    CommandError::Unwritable { path: path.display().to_string(), reason: error.to_string() }
}

fn base_path(folder: &Path) -> PathBuf {
    folder.join(BASE_FILE)
}
