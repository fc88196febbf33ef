//! Problems of a settings folder, each with its file, line and key.

use crate::file::FileName;
use rudder_core::plain_data;
use serde::Serialize;
use std::fmt;

plain_data! {
    /// Location of a key or value.
    #[derive(PartialOrd, Ord, Serialize)]
    pub struct SourcePlace {
        /// Name of the file.
        pub file: FileName,
        /// Line number, starting at 1.
        pub line: usize,
    }
}

impl fmt::Display for SourcePlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

plain_data! {
    /// One problem of a settings folder.
    #[derive(PartialOrd, Ord, Serialize)]
    pub struct SettingsProblem {
        /// Location; `None` if no file contains the key.
        pub place: Option<SourcePlace>,
        /// Dotted key; empty if the problem concerns a whole file.
        pub key: String,
        /// Description of the problem.
        pub wrong: String,
        /// Suggested correction.
        pub right: String,
    }
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.place {
            Some(place) => write!(f, "{place}: ")?,
            None => f.write_str("(folder): ")?,
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}; {}", self.wrong, self.right)
    }
}

plain_data! {
    /// Error for an invalid folder. None of its settings are applied.
    #[derive(Serialize)]
    pub struct SettingsErrors {
        /// Problems, sorted by location; never empty.
        pub problems: Vec<SettingsProblem>,
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for problem in &self.problems {
            write!(f, "{separator}{problem}")?;
            separator = "\n";
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}
