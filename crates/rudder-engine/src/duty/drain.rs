//! Graceful shutdown of an instance.

use super::registry::deregister;
use super::start::EngineTiming;
use crate::engine::ProxyEngine;
use crate::identity::DrainPhase;
use std::sync::Arc;

/// Fraction of the grace time after which open transactions are aborted.
const TRANSACTION_GRACE_FRACTION: f64 = 0.5;

/// Fraction of the grace time after which the process exits, whatever is still open. The rest is
/// reserved for the exit itself on a slow machine.
const END_GRACE_FRACTION: f64 = 0.85;

/// Shuts an instance down: callers are asked to reconnect elsewhere as their statements and
/// transactions end, open transactions have half of the grace time, and everything else ends
/// shortly before the grace time is over.
///
/// Returns when the process may exit. `idle` returns whether no caller is left. Requests that other
/// instances forwarded are waited for in the same way.
///
/// ```no_run
/// # async fn example(engine: std::sync::Arc<rudder_engine::ProxyEngine>) {
/// use rudder_engine::{EngineTiming, stop_engine};
/// use std::time::Duration;
/// let timing = EngineTiming { grace: Duration::from_secs(6) };
/// stop_engine(&engine, timing, || true).await;
/// # }
/// ```
pub async fn stop_engine(engine: &Arc<ProxyEngine>, timing: EngineTiming, idle: impl Fn() -> bool) {
    let began_at = tokio::time::Instant::now();
    engine.set_drain_phase(DrainPhase::Leaving);
    log::info!(grace_ms = timing.grace.as_millis(); "this instance begins to shut down");
    let closing_at = began_at + timing.grace.mul_f64(TRANSACTION_GRACE_FRACTION);
    let end_at = began_at + timing.grace.mul_f64(END_GRACE_FRACTION);
    tokio::time::sleep_until(closing_at).await;
    engine.set_drain_phase(DrainPhase::Closing);
    let poll_interval = timing.grace / 100;
    let is_idle = || idle() && engine.forwarding().work().is_idle();
    while !is_idle() && tokio::time::Instant::now() + poll_interval < end_at {
        tokio::time::sleep(poll_interval).await;
    }
    deregister(engine).await;
    log::info!(idle = is_idle(); "this instance ends");
}
