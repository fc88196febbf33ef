//! Settings files: name, text, and reading them from a folder.

use displaydoc::Display;
use rudder_core::plain_data;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use std::str::FromStr;

/// Suffix of settings files; files without it are ignored.
const FILE_SUFFIX: &str = ".toml";

/// Maximum length of a file name. File names become part of the platform's object names, which are
/// limited to 253 characters.
const FILE_NAME_LENGTH_MAX: usize = 120;

/// Name of a settings file, such as `10-services.toml`. Files are merged in the order of their
/// names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct FileName(String);

impl FileName {
    /// Returns the name as a string slice.
    ///
    /// ```
    /// let name: rudder_settings::FileName = "10-services.toml".parse()?;
    /// assert_eq!(name.as_str(), "10-services.toml");
    /// # Ok::<(), rudder_settings::FolderError>(())
    /// ```
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for FileName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for FileName {
    type Err = FolderError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let name_error = || FolderError::Name(text.chars().take(FILE_NAME_LENGTH_MAX).collect());
        let stem = text.strip_suffix(FILE_SUFFIX).ok_or_else(name_error)?;
        let allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
        let valid_start = stem.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
        if valid_start && text.len() <= FILE_NAME_LENGTH_MAX && stem.bytes().all(allowed) {
            return Ok(Self(text.to_owned()));
        }
        Err(name_error())
    }
}

impl TryFrom<String> for FileName {
    type Error = FolderError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<FileName> for String {
    fn from(name: FileName) -> Self {
        name.0
    }
}

plain_data! {
    /// One settings file.
    #[derive(Serialize, Deserialize)]
    pub struct SettingsFile {
        /// File name, which determines the merge order.
        pub name: FileName,
        /// Content of the file, in TOML.
        pub text: String,
    }
}

impl SettingsFile {
    /// Creates a file from its name and text.
    ///
    /// ```
    /// let file = rudder_settings::SettingsFile::new("10-domains.toml", "")?;
    /// assert_eq!(file.name.as_str(), "10-domains.toml");
    /// # Ok::<(), rudder_settings::FolderError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if the name is not a valid settings file name.
    pub fn new(name: &str, text: impl Into<String>) -> Result<Self, FolderError> {
        Ok(Self { name: name.parse()?, text: text.into() })
    }
}

/// Reasons why a folder cannot be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum FolderError {
    /// "{0}" is not the name of a settings file: use a-z, 0-9, "-", "_" and ".", ending in .toml
    Name(String),
    /// folder {folder} cannot be read: {reason}
    Unreadable {
        /// Path of the folder or file.
        folder: String,
        /// Error message of the operating system.
        reason: String,
    },
    /// folder {0} holds no .toml file
    Empty(String),
}

impl std::error::Error for FolderError {}

/// Reads the `.toml` files of a folder, sorted by name. Hidden and other files are ignored.
///
/// ```
/// assert!(rudder_settings::read_folder(std::path::Path::new("/no/such/folder")).is_err());
/// ```
///
/// # Errors
///
/// Returns an error if the folder or a file cannot be read, a file name is invalid, or the folder
/// holds no `.toml` file.
pub fn read_folder(folder: &Path) -> Result<Vec<SettingsFile>, FolderError> {
    let unreadable = |place: &Path, error: std::io::Error| FolderError::Unreadable {
        folder: place.display().to_string(),
        reason: error.to_string(),
    };
    let entries = std::fs::read_dir(folder).map_err(|error| unreadable(folder, error))?;
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.map_err(|error| unreadable(folder, error))?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        let hidden = name.starts_with('.');
        if hidden || !name.ends_with(FILE_SUFFIX) {
            continue;
        }
        let text = std::fs::read_to_string(&path).map_err(|error| unreadable(&path, error))?;
        files.push(SettingsFile::new(&name, text)?);
    }
    if files.is_empty() {
        return Err(FolderError::Empty(folder.display().to_string()));
    }
    files.sort_by(|one, other| one.name.cmp(&other.name));
    Ok(files)
}
