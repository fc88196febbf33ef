//! Cache of parsed SQL texts.

use super::error::SqlError;
use super::parse::parse_statements;
use super::plan::StatementPlan;
use imbl::OrdMap;
use std::sync::{Arc, PoisonError, RwLock};

/// Maximum number of texts; a full cache is cleared. Without a limit, texts with literals would let
/// it grow without bound.
const TEXTS_MAX: usize = 16_384;

/// Maximum length of a cached text in bytes; longer ones, such as large inserts,
/// are not worth caching.
const TEXT_BYTES_MAX: usize = 4096;

type PlanTexts = OrdMap<Arc<str>, Arc<[StatementPlan]>>;

/// Plans by SQL text, shared by all sessions of a group.
#[derive(Debug, Default)]
pub(crate) struct PlanCache {
    texts: RwLock<PlanTexts>,
}

impl PlanCache {
    /// Returns the plans of a text; parses it if it is not cached.
    pub(crate) fn plans(&self, text: &str) -> Result<Arc<[StatementPlan]>, SqlError> {
        {
            let texts = self.texts.read().unwrap_or_else(PoisonError::into_inner);
            if let Some(plans) = texts.get(text) {
                return Ok(Arc::clone(plans));
            }
        }
        let plans: Arc<[StatementPlan]> = parse_statements(text)?.into();
        if text.len() <= TEXT_BYTES_MAX {
            drop(self.insert(text, Arc::clone(&plans)));
        }
        Ok(plans)
    }

    /// Adds a text. Returns the evicted texts, which the caller drops after the lock is released so
    /// that no other session waits for it.
    fn insert(&self, text: &str, plans: Arc<[StatementPlan]>) -> PlanTexts {
        let mut texts = self.texts.write().unwrap_or_else(PoisonError::into_inner);
        let mut evicted = PlanTexts::new();
        if texts.len() >= TEXTS_MAX {
            evicted = std::mem::take(&mut *texts);
        }
        texts.insert(text.into(), plans);
        evicted
    }
}
