//! Merges the files of a settings folder in the order of their names and validates the result.

use crate::check::check_tree;
use crate::file::SettingsFile;
use crate::merge::merge_table;
use crate::model::FleetSettings;
use crate::problem::{SettingsErrors, SettingsProblem, SourcePlace};
use crate::source::{SourceTable, SourceValue, parse_file};
use rudder_core::plain_data;
use serde::Serialize;

plain_data! {
    /// One merged value and the location that it comes from.
    #[derive(Serialize)]
    pub struct MergedValue {
        /// Dotted key.
        pub key: String,
        /// Value in TOML notation.
        pub value: String,
        /// File and line of the value that took precedence.
        pub place: SourcePlace,
    }
}

plain_data! {
    /// Result of merging a valid folder.
    pub struct MergedFolder {
        /// Validated settings.
        pub fleet: FleetSettings,
        /// Every merged value with its location, sorted by key.
        pub values: Vec<MergedValue>,
    }
}

/// Merges files in the order of their names and validates the result.
///
/// The order of `files` does not matter, except that the last of several files with the same name
/// replaces the others.
///
/// ```
/// use rudder_settings::{SettingsFile, merge_folder};
/// let first = SettingsFile::new("10-a.toml", "[domains.kigali-a]\nregion = \"north\"")?;
/// let later = SettingsFile::new("20-b.toml", "[domains.kigali-a]\nregion = \"kigali\"")?;
/// let merged = merge_folder(&[later, first])?;
/// assert_eq!(merged.fleet.domains[0].region, "kigali");
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
///
/// # Errors
///
/// Returns all problems of the folder, each with its file, line and key.
pub fn merge_folder(files: &[SettingsFile]) -> Result<MergedFolder, SettingsErrors> {
    let mut problems = Vec::new();
    let tree = merge_trees(files, &mut problems);
    if !problems.is_empty() {
        return Err(sorted_errors(problems));
    }
    let fleet = check_tree(&tree, &mut problems);
    if !problems.is_empty() {
        return Err(sorted_errors(problems));
    }
    let mut values = Vec::new();
    list_values("", &tree, &mut values);
    Ok(MergedFolder { fleet, values })
}

fn sorted_errors(mut problems: Vec<SettingsProblem>) -> SettingsErrors {
    problems.sort();
    problems.dedup();
    SettingsErrors { problems }
}

fn merge_trees(files: &[SettingsFile], problems: &mut Vec<SettingsProblem>) -> SourceTable {
    let mut ordered: Vec<&SettingsFile> = files.iter().collect();
    ordered.sort_by(|one, other| one.name.cmp(&other.name));
    let mut tree = SourceTable::default();
    for (index, file) in ordered.iter().enumerate() {
        let replaced = ordered.get(index + 1).is_some_and(|next| next.name == file.name);
        if replaced {
            continue;
        }
        match parse_file(file) {
            Ok(table) => merge_table(&mut tree, table),
            Err(mut found) => problems.append(&mut found),
        }
    }
    tree
}

fn list_values(path: &str, table: &SourceTable, values: &mut Vec<MergedValue>) {
    for entry in &table.entries {
        let key = join_key(path, &entry.key);
        if let SourceValue::Table(inner) = &entry.node.value {
            list_values(&key, inner, values);
            continue;
        }
        let value = entry.node.value.to_string();
        values.push(MergedValue { key, value, place: entry.place.clone() });
    }
}

/// Appends a key to the dotted path of its table.
pub(crate) fn join_key(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
