//! The accepted revision and its files as stored in the platform.

use rudder_core::{ParseError, WriterMark, plain_data};
use rudder_settings::{FileName, SettingsFile};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// Name of the single object that stores the accepted revision.
pub(crate) const REVISION_OBJECT: &str = "accepted";

/// Number of revisions for which the object of a replaced file is kept, for instances that read a
/// revision while operators submit newer ones.
pub(crate) const KEEP_REVISIONS: u64 = 3;

/// Number of writer marks stored in a revision. A writer whose response was lost finds its own mark
/// unless this many later revisions were accepted.
pub(crate) const KEEP_MARKS: usize = 8;

/// Number of an accepted revision. It only increases; zero means no revision.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RevisionNumber(pub u64);

impl RevisionNumber {
    pub(crate) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for RevisionNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RevisionNumber {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse_error = |_| ParseError::Number { what: "RevisionNumber", text: text.to_owned() };
        text.parse().map(Self).map_err(parse_error)
    }
}

plain_data! {
    /// One file of a revision.
    #[derive(Serialize, Deserialize)]
    pub struct RevisionFile {
        /// Name of the file.
        pub name: FileName,
        /// Name of the object that stores the file.
        pub object: String,
    }
}

plain_data! {
    /// Mark of a writer and the revision that it created.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RevisionMark {
        pub(crate) number: RevisionNumber,
        pub(crate) mark: WriterMark,
    }
}

plain_data! {
    /// An object that earlier revisions referenced, and the first revision that does not.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RetiredObject {
        pub(crate) object: String,
        pub(crate) number: RevisionNumber,
    }
}

plain_data! {
    /// Accepted revision: the object that stores the current content of each file.
    #[derive(Default, Serialize, Deserialize)]
    pub struct SettingsRevision {
        /// Number of the revision.
        pub number: RevisionNumber,
        /// Files of the revision, sorted by name.
        pub files: Vec<RevisionFile>,
        /// Marks of the last writers, oldest first.
        #[serde(default)]
        pub(crate) marks: Vec<RevisionMark>,
        /// Objects that recent revisions referenced.
        #[serde(default)]
        pub(crate) retired: Vec<RetiredObject>,
    }
}

impl SettingsRevision {
    /// Returns the name of the object that stores this file.
    ///
    /// ```
    /// let revision = rudder_store::SettingsRevision::default();
    /// assert_eq!(revision.object(&"10-a.toml".parse()?), None);
    /// # Ok::<(), rudder_settings::FolderError>(())
    /// ```
    #[must_use]
    pub fn object(&self, name: &FileName) -> Option<&str> {
        let index = self.files.binary_search_by(|file| file.name.cmp(name)).ok()?;
        Some(&self.files[index].object)
    }

    /// Creates a revision that consists of exactly these files.
    ///
    /// An operator's folder records the state of its last fetch or submission in this form.
    ///
    /// ```
    /// use rudder_store::{RevisionNumber, SettingsRevision};
    /// let file = rudder_settings::SettingsFile::new("10-a.toml", "")?;
    /// let revision = SettingsRevision::of_files(RevisionNumber(3), &[file]);
    /// assert_eq!(revision.files.len(), 1);
    /// # Ok::<(), rudder_settings::FolderError>(())
    /// ```
    #[must_use]
    pub fn of_files(number: RevisionNumber, files: &[SettingsFile]) -> Self {
        let entry = |file: &SettingsFile| RevisionFile {
            name: file.name.clone(),
            object: object_name(file),
        };
        let mut files: Vec<RevisionFile> = files.iter().map(entry).collect();
        files.sort_by(|one, other| one.name.cmp(&other.name));
        Self { number, files, ..Self::default() }
    }

    /// Returns the number of the revision that this writer created, if its mark is still stored.
    pub(crate) fn number_written_by(&self, mark: &WriterMark) -> Option<RevisionNumber> {
        self.marks.iter().find(|made| made.mark == *mark).map(|made| made.number)
    }
}

plain_data! {
    /// Content of the object that stores a file.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct FileRecord {
        pub(crate) file: FileName,
        pub(crate) text: String,
        /// Revision that was in force when a writer last created or refreshed this object.
        pub(crate) since: RevisionNumber,
    }
}

/// Returns the object name for a file. It contains a hash of the file's name and text, so that
/// changed content is a new object and the files of an existing revision never change. Object names
/// must not contain underscores; the hash covers the original file name.
pub(crate) fn object_name(file: &SettingsFile) -> String {
    let mut bytes = file.name.as_str().as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(file.text.as_bytes());
    let readable = file.name.as_str().replace('_', "-");
    format!("{readable}.{:016x}", xxh3_64(&bytes))
}
