//! Policies that measurements can replace with a baseline.

use rudder_decisions::{ReadPolicy, ReadRouter};
use std::sync::Arc;

/// Policies of an instance.
#[derive(Clone)]
pub struct ProxyPolicies {
    /// Selects the members that serve reads.
    pub reads: Arc<dyn ReadPolicy>,
    /// Whether the admission gate limits running and queued requests.
    pub admission_limits: bool,
}

impl Default for ProxyPolicies {
    fn default() -> Self {
        Self { reads: Arc::new(ReadRouter::new()), admission_limits: true }
    }
}
