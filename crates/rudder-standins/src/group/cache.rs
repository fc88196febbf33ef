//! A cache from SQL text to its plans.

use super::error::SqlError;
use super::parse::parse_statements;
use super::plan::Plan;
use imbl::OrdMap;
use std::sync::{Arc, PoisonError, RwLock};

/// Texts beyond this number empty the cache: literals in texts would let it grow without bound.
const TEXTS_MAX: usize = 65_536;

/// Longer texts, such as large inserts, are not worth keeping.
const TEXT_BYTES_MAX: usize = 4096;

/// The parsed form of SQL texts, shared by all sessions of a group.
#[derive(Debug, Default)]
pub(crate) struct PlanCache {
    texts: RwLock<OrdMap<Arc<str>, Arc<[Plan]>>>,
}

impl PlanCache {
    /// The plans of a text.
    pub(crate) fn plans(&self, text: &str) -> Result<Arc<[Plan]>, SqlError> {
        {
            let texts = self.texts.read().unwrap_or_else(PoisonError::into_inner);
            if let Some(plans) = texts.get(text) {
                return Ok(Arc::clone(plans));
            }
        }
        let plans: Arc<[Plan]> = parse_statements(text)?.into();
        if text.len() <= TEXT_BYTES_MAX {
            let mut texts = self.texts.write().unwrap_or_else(PoisonError::into_inner);
            if texts.len() >= TEXTS_MAX {
                texts.clear();
            }
            texts.insert(text.into(), Arc::clone(&plans));
        }
        Ok(plans)
    }
}
