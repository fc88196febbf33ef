//! What is wrong with a folder: every problem at once, each with its place.

use crate::file::FileName;
use rudder_core::plain_data;
use serde::Serialize;
use std::fmt;

plain_data! {
    /// Where a key or value stands.
    #[derive(PartialOrd, Ord, Serialize)]
    pub struct SourcePlace {
        /// The file.
        pub file: FileName,
        /// The line, counted from 1.
        pub line: usize,
    }
}

impl fmt::Display for SourcePlace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

plain_data! {
    /// One thing that is wrong.
    #[derive(PartialOrd, Ord, Serialize)]
    pub struct SettingsProblem {
        /// Where; none when no file speaks of it.
        pub place: Option<SourcePlace>,
        /// The key, dotted; empty for a whole file.
        pub key: String,
        /// What is wrong.
        pub wrong: String,
        /// What would be right.
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
    /// A refused folder: all its problems, sorted by place. Nothing of it takes force.
    #[derive(Serialize)]
    pub struct SettingsRefusal {
        /// The problems; never empty.
        pub problems: Vec<SettingsProblem>,
    }
}

impl fmt::Display for SettingsRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for problem in &self.problems {
            write!(f, "{separator}{problem}")?;
            separator = "\n";
        }
        Ok(())
    }
}

impl std::error::Error for SettingsRefusal {}
