//! Memory that callers occupy at this instance.

use crate::engine::ProxyEngine;
use crate::sync::lock;
use rudder_core::ByteSize;
use rudder_decisions::{LogThrottle, MachineLimits, MemoryBudget, MemoryReservation};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval at which the metrics of the memory in use are updated.
const USAGE_INTERVAL: Duration = Duration::from_secs(5);

/// Exempt amount of the input of a connection.
const INPUT_EXEMPT: ByteSize = ByteSize(4 * 1024);

/// Exempt amount of a running request, several times its usual size.
const REQUEST_EXEMPT: ByteSize = ByteSize(8 * 1024);

/// Exempt amount of a session's values and prepared statements.
const SESSION_EXEMPT: ByteSize = ByteSize(1024);

/// Budgets for the memory of callers.
pub(crate) struct CallerMemory {
    requests: Arc<MemoryBudget>,
    sessions: Arc<MemoryBudget>,
    replies: Arc<MemoryBudget>,
    throttle: Mutex<LogThrottle>,
}

impl CallerMemory {
    pub(crate) fn new(limits: &MachineLimits) -> Self {
        Self {
            requests: MemoryBudget::new(limits.request_memory()),
            sessions: MemoryBudget::new(limits.session_memory()),
            replies: MemoryBudget::new(limits.reply_memory()),
            throttle: Mutex::default(),
        }
    }

    /// Counts and logs a request that was refused because the memory for `reason` is used up.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        metrics::counter!("rudder_requests_refused_total", "reason" => reason).increment(1);
        if let Some(count) = lock(&self.throttle).record(1, Instant::now()) {
            log::warn!(
                reason = reason, count = count, requests_bytes = self.requests.used().0,
                sessions_bytes = self.sessions.used().0, outcome = "not_served";
                "requests were refused, as too much memory is in use"
            );
        }
    }

    /// Updates the metrics of the memory in use.
    fn record_usage(&self) {
        let budgets = [
            ("requests", &self.requests),
            ("sessions", &self.sessions),
            ("replies", &self.replies),
        ];
        for (budget, memory) in budgets {
            #[expect(clippy::cast_precision_loss, reason = "a gauge of megabytes")]
            metrics::gauge!("rudder_caller_memory_bytes", "budget" => budget)
                .set(memory.used().0 as f64);
        }
    }

    /// Budget for replies that are being sent to other instances.
    pub(crate) fn replies(&self) -> &Arc<MemoryBudget> {
        &self.replies
    }

    /// Returns the reservation of the input of a caller's connection.
    pub(crate) fn input_reservation(&self) -> MemoryReservation {
        self.requests.reservation(INPUT_EXEMPT)
    }

    /// Returns the reservation of a caller's request.
    pub(crate) fn request_reservation(&self) -> MemoryReservation {
        self.requests.reservation(REQUEST_EXEMPT)
    }

    /// Returns the reservation of what a session keeps.
    pub(crate) fn session_reservation(&self) -> MemoryReservation {
        self.sessions.reservation(SESSION_EXEMPT)
    }
}

/// Updates the metrics of the memory in use until the process ends.
pub(crate) async fn report_usage(engine: Arc<ProxyEngine>) {
    loop {
        engine.caller_memory().record_usage();
        tokio::time::sleep(USAGE_INTERVAL).await;
    }
}
