//! Merging trees key by key: tables join, any other value of a later file replaces the earlier.

use crate::source::{SourceEntry, SourceTable, SourceValue};

/// Lays `later` over `earlier`.
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
        // The first file to open a table stays its place: a later file only adds to it.
        let SourceValue::Table(addition) = later.node.value else { return };
        merge_table(table, addition);
        return;
    }
    *earlier = later;
}
