//! Merges trees of settings key by key: tables are combined, any other value of a later file
//! replaces the earlier one.

use crate::source::{SourceEntry, SourceTable, SourceValue};

/// Merges `later` into `earlier`; values of `later` take precedence.
pub(crate) fn merge_table(earlier: &mut SourceTable, later: SourceTable) {
    for entry in later.entries {
        match earlier.position(&entry.key) {
            Ok(index) => merge_entry(&mut earlier.entries[index], entry),
            Err(index) => earlier.entries.insert(index, entry),
        }
    }
}

fn merge_entry(earlier: &mut SourceEntry, later: SourceEntry) {
    if let SourceValue::Table(table) = &mut earlier.node.value
        && let SourceValue::Table(_) = &later.node.value
    {
        // A table keeps the location in the first file that has it: later files only add keys.
        let SourceValue::Table(addition) = later.node.value else { return };
        merge_table(table, addition);
        return;
    }
    *earlier = later;
}
