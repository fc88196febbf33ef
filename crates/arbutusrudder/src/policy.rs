//! The rules that a measurement may exchange for a baseline.

use rudder_decisions::{ReadPolicy, ReadRouter};
use std::sync::Arc;

/// The rules by which an instance decides.
#[derive(Clone)]
pub struct ProxyPolicies {
    /// Where reads go.
    pub reads: Arc<dyn ReadPolicy>,
    /// Whether the admission gate bounds what runs and waits.
    pub limits: bool,
}

impl Default for ProxyPolicies {
    fn default() -> Self {
        Self { reads: Arc::new(ReadRouter::new()), limits: true }
    }
}
