//! HTTP server of the admin pages: health, status and metrics.

mod status;

use crate::context::InstanceContext;
use crate::error::ProxyError;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use status::InstanceStatus;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::TcpListener;

/// Upper bounds of the histogram buckets, in seconds.
const HISTOGRAM_BUCKETS: [f64; 12] =
    [0.000_1, 0.000_3, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0];

/// Interval at which the recorder's samples are added up.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Metrics recorder that all instances of the process share.
static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Serves the admin pages until the instance ends.
pub(crate) async fn serve_pages(listener: TcpListener, context: Arc<InstanceContext>) {
    let pages = Router::new()
        .route("/live", get(|| async { "live\n" }))
        .route("/ready", get(ready))
        .route("/status", get(status))
        .route("/metrics", get(metrics_page))
        .with_state(context);
    if let Err(error) = axum::serve(listener, pages).await {
        log::error!(target: "rudder::admin", reason:% = error; "admin server stopped");
    }
}

/// Installs the metrics recorder of the process; later calls have no effect.
pub(crate) fn set_up_metrics() {
    RECORDER.get_or_init(|| {
        let builder = PrometheusBuilder::new().set_buckets(&HISTOGRAM_BUCKETS).ok()?;
        let recorder = builder.install_recorder().ok()?;
        std::thread::spawn({
            let recorder = recorder.clone();
            move || keep_up(&recorder)
        });
        Some(recorder)
    });
}

/// Adds new samples to the histograms' buckets. The recorder keeps each sample until then, and nobody
/// may ever read the metrics page.
fn keep_up(recorder: &PrometheusHandle) -> ! {
    loop {
        std::thread::sleep(UPKEEP_INTERVAL);
        recorder.run_upkeep();
    }
}

/// Starts a server for the metrics page only, which runs until the process ends.
pub(crate) async fn serve_metrics(address: SocketAddr) -> Result<(), ProxyError> {
    set_up_metrics();
    let listener = TcpListener::bind(address)
        .await
        .map_err(|reason| ProxyError::Listen { address, reason })?;
    let page = Router::new().route("/metrics", get(|| async { render_metrics() }));
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, page).await {
            log::error!(target: "rudder::admin", reason:% = error; "metrics server stopped");
        }
    });
    Ok(())
}

fn render_metrics() -> String {
    RECORDER.get().and_then(Option::as_ref).map(PrometheusHandle::render).unwrap_or_default()
}

async fn ready(State(context): State<Arc<InstanceContext>>) -> (StatusCode, &'static str) {
    if context.is_leaving() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving\n");
    }
    if context.revision_number() == 0 {
        return (StatusCode::SERVICE_UNAVAILABLE, "no settings yet\n");
    }
    (StatusCode::OK, "ready\n")
}

async fn status(State(context): State<Arc<InstanceContext>>) -> Json<InstanceStatus> {
    Json(InstanceStatus::of(&context))
}

async fn metrics_page(State(context): State<Arc<InstanceContext>>) -> String {
    InstanceStatus::of(&context).record();
    let budgets = [("requests", &context.request_memory), ("sessions", &context.session_memory)];
    for (budget, memory) in budgets {
        #[expect(clippy::cast_precision_loss, reason = "a gauge of megabytes")]
        metrics::gauge!("rudder_caller_memory_bytes", "budget" => budget)
            .set(memory.used().0 as f64);
    }
    render_metrics()
}

#[cfg(test)]
mod tests;
