//! Cache of classifications, so that a recurring text is scanned once.

use super::facts::StatementsSummary;
use super::scan::classify_text;
use std::sync::{Arc, RwLock};
use xxhash_rust::xxh3::xxh3_128;

/// Maximum number of cached texts; simple queries with literals would fill memory otherwise.
const CACHE_ENTRIES_MAX: usize = 4096;

/// Maximum length of a cached text, in bytes.
const CACHED_TEXT_MAX: usize = 4096;

/// A bounded cache of classifications, shared by all callers of an instance.
#[derive(Default)]
pub(crate) struct SummaryCache {
    entries: RwLock<Vec<(u128, Arc<StatementsSummary>)>>,
}

impl SummaryCache {
    /// Returns the classification of `text` if it is cached.
    pub(crate) fn find(&self, text: &str) -> Option<Arc<StatementsSummary>> {
        if text.len() > CACHED_TEXT_MAX {
            return None;
        }
        let hash = xxh3_128(text.as_bytes());
        let entries = self.entries.read().expect("no holder of this lock panics");
        let index = entries.binary_search_by_key(&hash, |(hash, _)| *hash).ok()?;
        Some(Arc::clone(&entries[index].1))
    }

    /// Classifies `text` and caches the result.
    pub(crate) fn classify(&self, text: &str) -> Arc<StatementsSummary> {
        let summary = Arc::new(classify_text(text));
        // A change of a setting holds copies of the text, and its value seldom recurs.
        let changes = summary.statements.iter().any(|facts| facts.change.is_some());
        if text.len() <= CACHED_TEXT_MAX && !changes {
            self.insert_summary(xxh3_128(text.as_bytes()), Arc::clone(&summary));
        }
        summary
    }

    fn insert_summary(&self, hash: u128, summary: Arc<StatementsSummary>) {
        let mut entries = self.entries.write().expect("no holder of this lock panics");
        if entries.len() >= CACHE_ENTRIES_MAX {
            entries.clear();
        }
        if let Err(index) = entries.binary_search_by_key(&hash, |(hash, _)| *hash) {
            entries.insert(index, (hash, summary));
        }
    }
}
