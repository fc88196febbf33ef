//! A revision together with the content of its files, as instances send it to each other.

use super::record::{RevisionNumber, object_name};
use crate::store::ObjectVersion;
use displaydoc::Display;
use rudder_core::plain_data;
use rudder_settings::{MergedFolder, SettingsErrors, SettingsFile, merge_folder};
use serde::{Deserialize, Serialize};

plain_data! {
    /// One file of a bundle.
    #[derive(Serialize, Deserialize)]
    pub struct BundleFile {
        /// Name of the platform object that stores the file.
        pub object: String,
        /// Name and content of the file.
        pub file: SettingsFile,
    }
}

plain_data! {
    /// A revision together with the content of its files.
    #[derive(Serialize, Deserialize)]
    pub struct RevisionBundle {
        /// Number of the revision.
        pub number: RevisionNumber,
        /// Version of the revision object. A poll compares it with the current version, which
        /// avoids reading the object.
        #[serde(default)]
        pub version: Option<ObjectVersion>,
        /// Files of the revision, sorted by name.
        pub files: Vec<BundleFile>,
    }
}

/// Reasons why a bundle cannot be used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum BundleError {
    /// the content of object {0} does not match the hash in its name
    Damaged(String),
    /// the merged settings are invalid: {0}
    Refused(SettingsErrors),
}

impl std::error::Error for BundleError {}

impl RevisionBundle {
    /// Verifies, merges and validates the files.
    ///
    /// ```
    /// use rudder_store::{RevisionBundle, RevisionNumber};
    /// let number = RevisionNumber(1);
    /// let bundle = RevisionBundle { number, version: None, files: Vec::new() };
    /// assert!(bundle.merge()?.fleet.services.is_empty());
    /// # Ok::<(), rudder_store::BundleError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if the content of a file does not match the hash in its object name, or if
    /// the merged settings are invalid.
    pub fn merge(&self) -> Result<MergedFolder, BundleError> {
        for bundled in &self.files {
            if object_name(&bundled.file) != bundled.object {
                return Err(BundleError::Damaged(bundled.object.clone()));
            }
        }
        let files: Vec<SettingsFile> = self.files.iter().map(|file| file.file.clone()).collect();
        merge_folder(&files).map_err(BundleError::Refused)
    }

    /// Returns the file that this object stores, if the bundle has it.
    pub(crate) fn file_of(&self, object: &str) -> Option<&BundleFile> {
        self.files.iter().find(|bundled| bundled.object == object)
    }
}
