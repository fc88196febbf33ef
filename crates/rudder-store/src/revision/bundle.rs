//! A revision with the texts of its files, as one instance hands it to another.

use super::record::{RevisionNumber, object_name};
use crate::store::ObjectVersion;
use displaydoc::Display;
use rudder_core::plain_data;
use rudder_settings::{MergedFolder, SettingsFile, SettingsRefusal, merge_folder};
use serde::{Deserialize, Serialize};

plain_data! {
    /// One file of a bundle.
    #[derive(Serialize, Deserialize)]
    pub struct BundleFile {
        /// The object that holds the file in the platform.
        pub object: String,
        /// The file.
        pub file: SettingsFile,
    }
}

plain_data! {
    /// A revision with the texts of its files, sorted by name.
    #[derive(Serialize, Deserialize)]
    pub struct RevisionBundle {
        /// The revision's number.
        pub number: RevisionNumber,
        /// The version of the object that named the files; with it a poll costs next to nothing.
        #[serde(default)]
        pub version: Option<ObjectVersion>,
        /// Its files.
        pub files: Vec<BundleFile>,
    }
}

/// Why a bundle is not used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum BundleError {
    /// the text of object {0} is not the one that its name stands for
    Damaged(String),
    /// the merged settings are refused: {0}
    Refused(SettingsRefusal),
}

impl std::error::Error for BundleError {}

impl RevisionBundle {
    /// Merges and checks the files.
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
    /// When a text is not the one that its object's name stands for, or the merge is refused.
    pub fn merge(&self) -> Result<MergedFolder, BundleError> {
        for bundled in &self.files {
            if object_name(&bundled.file) != bundled.object {
                return Err(BundleError::Damaged(bundled.object.clone()));
            }
        }
        let files: Vec<SettingsFile> = self.files.iter().map(|file| file.file.clone()).collect();
        merge_folder(&files).map_err(BundleError::Refused)
    }

    /// The file that this object holds, if the bundle has it.
    pub(crate) fn file_of(&self, object: &str) -> Option<&BundleFile> {
        self.files.iter().find(|bundled| bundled.object == object)
    }
}
