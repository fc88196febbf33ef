//! The accepted revision and the files that it names, as the platform holds them.

use rudder_core::{ParseError, WriterMark, plain_data};
use rudder_settings::{FileName, SettingsFile};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3::xxh3_64;

/// Name of the one object that holds the accepted revision.
pub(crate) const REVISION_OBJECT: &str = "accepted";

/// How many revisions back a file's object stays readable, for proxies that read while operators
/// submit.
pub(crate) const KEEP_REVISIONS: u64 = 3;

/// How many writers' marks a revision remembers. A writer whose answer was lost finds its own mark
/// unless more than this many revisions came after it.
pub(crate) const KEEP_MARKS: usize = 8;

/// The number of an accepted revision; it only grows. Zero stands for none.
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
        /// The file's name.
        pub name: FileName,
        /// The object that holds its text.
        pub object: String,
    }
}

plain_data! {
    /// A writer's mark and the revision that it made.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RevisionMark {
        pub(crate) number: RevisionNumber,
        pub(crate) mark: WriterMark,
    }
}

plain_data! {
    /// An object that an earlier revision named, and the revision that no longer does.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct RetiredObject {
        pub(crate) object: String,
        pub(crate) number: RevisionNumber,
    }
}

plain_data! {
    /// The accepted revision: the version of each file of the folder.
    #[derive(Default, Serialize, Deserialize)]
    pub struct SettingsRevision {
        /// Its number.
        pub number: RevisionNumber,
        /// Its files, sorted by name.
        pub files: Vec<RevisionFile>,
        /// The marks of the last writers, oldest first.
        #[serde(default)]
        pub(crate) marks: Vec<RevisionMark>,
        /// Objects that recent revisions named.
        #[serde(default)]
        pub(crate) retired: Vec<RetiredObject>,
    }
}

impl SettingsRevision {
    /// The object that holds this file's text.
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

    /// A revision that names exactly these files, as if it had been accepted so.
    ///
    /// An operator's folder remembers by it what it held when it was last fetched or submitted.
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

    /// The revision that this writer made, if it is among the last.
    pub(crate) fn number_written_by(&self, mark: &WriterMark) -> Option<RevisionNumber> {
        self.marks.iter().find(|made| made.mark == *mark).map(|made| made.number)
    }
}

plain_data! {
    /// The content of a file's object.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct FileRecord {
        pub(crate) file: FileName,
        pub(crate) text: String,
        /// The revision that was in force when a writer last wanted this object.
        pub(crate) since: RevisionNumber,
    }
}

/// The object name of a file's content: a changed text gets another name, so that a revision never
/// changes under its readers. Object names allow no underscore; the hash covers the true name.
pub(crate) fn object_name(file: &SettingsFile) -> String {
    let mut bytes = file.name.as_str().as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(file.text.as_bytes());
    let readable = file.name.as_str().replace('_', "-");
    format!("{readable}.{:016x}", xxh3_64(&bytes))
}
