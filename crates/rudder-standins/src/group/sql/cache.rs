//! A cache from SQL text to its plans.

use super::error::SqlError;
use super::parse::parse_statements;
use super::plan::StatementPlan;
use imbl::OrdMap;
use std::sync::{Arc, PoisonError, RwLock};

/// Texts beyond this number empty the cache: literals in texts would let it grow without bound.
const TEXTS_MAX: usize = 16_384;

/// Longer texts, such as large inserts, are not worth keeping.
const TEXT_BYTES_MAX: usize = 4096;

type PlanTexts = OrdMap<Arc<str>, Arc<[StatementPlan]>>;

/// The parsed form of SQL texts, shared by all sessions of a group.
#[derive(Debug, Default)]
pub(crate) struct PlanCache {
    texts: RwLock<PlanTexts>,
}

impl PlanCache {
    /// The plans of a text.
    pub(crate) fn plans(&self, text: &str) -> Result<Arc<[StatementPlan]>, SqlError> {
        {
            let texts = self.texts.read().unwrap_or_else(PoisonError::into_inner);
            if let Some(plans) = texts.get(text) {
                return Ok(Arc::clone(plans));
            }
        }
        let plans: Arc<[StatementPlan]> = parse_statements(text)?.into();
        if text.len() <= TEXT_BYTES_MAX {
            drop(self.keep(text, Arc::clone(&plans)));
        }
        Ok(plans)
    }

    /// Adds a text; what had to go is dropped by the caller, so that nobody waits for that.
    fn keep(&self, text: &str, plans: Arc<[StatementPlan]>) -> PlanTexts {
        let mut texts = self.texts.write().unwrap_or_else(PoisonError::into_inner);
        let mut gone = PlanTexts::new();
        if texts.len() >= TEXTS_MAX {
            gone = std::mem::take(&mut *texts);
        }
        texts.insert(text.into(), plans);
        gone
    }
}
