//! HTTP interface of the object store.

use super::state::{
    ObjectEvent, ObjectRow, ObjectsCall, ObjectsFault, ObjectsShared, PromotionRequest,
};
use axum::body::Bytes;
use axum::extract::{Path, Query, State};
use axum::http::header::CONTENT_TYPE;
use axum::http::{HeaderMap, Method, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of objects on one page of a list.
const PAGE_SIZE: usize = 500;

/// Delay of a lost response; longer than any caller waits.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(3600);

type Shared = State<Arc<ObjectsShared>>;

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct ObjectsQuery {
    after: Option<String>,
    watch: Option<u64>,
    wait_ms: u64,
    revision: Option<u64>,
    stale_ok: u8,
}

pub(super) fn router(shared: Arc<ObjectsShared>) -> Router {
    Router::new()
        .route("/v1/objects/{kind}", any(serve_kind))
        .route("/v1/objects/{kind}/{name}", any(serve_object))
        .route("/promotion", post(promote))
        .with_state(shared)
}

async fn serve_kind(
    State(shared): Shared,
    method: Method,
    Path(kind): Path<String>,
    Query(query): Query<ObjectsQuery>,
    body: Bytes,
) -> Response {
    let call = match (method == Method::POST, query.watch, query.stale_ok) {
        (true, ..) => ObjectsCall::Write,
        (false, Some(_), _) => ObjectsCall::Watch,
        (false, None, 0) => ObjectsCall::List,
        (false, None, _) => ObjectsCall::CachedList,
    };
    shared.state().count_call(call);
    if is_busy(&shared) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if method == Method::POST {
        return create(&shared, &kind, &body).await;
    }
    match query.watch {
        Some(from) => watch(&shared, &kind, from, query.wait_ms).await,
        None => list(&shared, &kind, query.after.as_deref()),
    }
}

fn is_busy(shared: &ObjectsShared) -> bool {
    shared.state().fault == Some(ObjectsFault::Busy)
}

fn list(shared: &ObjectsShared, kind: &str, after: Option<&str>) -> Response {
    let state = shared.state();
    let of_kind = state.rows.iter().filter(|row| row.kind == kind);
    let rest = of_kind.filter(|row| after.is_none_or(|after| row.name.as_str() > after));
    let mut items: Vec<Vec<u8>> = rest.take(PAGE_SIZE + 1).map(ObjectRow::to_bytes).collect();
    let more = items.len() > PAGE_SIZE;
    items.truncate(PAGE_SIZE);
    let end = format!("],\"hasMore\":{more},\"storeRevision\":{}}}", state.revision);
    json_response([b"{\"items\":[", &*items.join(&b','), end.as_bytes()].concat())
}

fn json_response(body: Vec<u8>) -> Response {
    ([(CONTENT_TYPE, "application/json")], body).into_response()
}

async fn watch(shared: &ObjectsShared, kind: &str, from: u64, wait_ms: u64) -> Response {
    let mut changed = shared.changed.subscribe();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let (events, revision) = {
            let state = shared.state();
            let is_new = |event: &&ObjectEvent| event.row.kind == kind && event.row.revision > from;
            let to_bytes = |event: &ObjectEvent| {
                let end = format!(",\"removed\":{}}}", event.removed);
                [b"{\"object\":", &*event.row.to_bytes(), end.as_bytes()].concat()
            };
            let events: Vec<Vec<u8>> = state.events.iter().filter(is_new).map(to_bytes).collect();
            (events, state.revision)
        };
        let change = tokio::time::timeout_at(deadline, changed.changed());
        if !events.is_empty() || !matches!(change.await, Ok(Ok(()))) {
            let end = format!("],\"storeRevision\":{revision}}}");
            return json_response(
                [b"{\"events\":[", &*events.join(&b','), end.as_bytes()].concat(),
            );
        }
    }
}

async fn create(shared: &ObjectsShared, kind: &str, body: &[u8]) -> Response {
    let Ok(body) = serde_json::from_slice::<Value>(body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let Some(name) = body["meta"]["name"].as_str() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let known = {
        let state = shared.state();
        state.find(kind, name).ok().map(|index| state.rows[index].to_bytes())
    };
    if let Some(known) = known {
        return (StatusCode::CONFLICT, json_response(known)).into_response();
    }
    let row = shared.state().put(kind, name, body["spec"].clone());
    respond_to_write(shared, row.to_bytes()).await
}

/// Responds to a completed write, unless the fault loses the response.
async fn respond_to_write(shared: &ObjectsShared, object: Vec<u8>) -> Response {
    shared.notify_watchers();
    if shared.state().fault == Some(ObjectsFault::LostWrites) {
        tokio::time::sleep(LOST_RESPONSE_DELAY).await;
    }
    json_response(object)
}

async fn serve_object(
    State(shared): Shared,
    method: Method,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<ObjectsQuery>,
    body: Bytes,
) -> Response {
    let reads = method == Method::GET;
    shared.state().count_call(if reads { ObjectsCall::Get } else { ObjectsCall::Write });
    if is_busy(&shared) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let known = {
        let state = shared.state();
        state.find(&kind, &name).ok().map(|index| state.rows[index].clone())
    };
    let Some(known) = known else { return StatusCode::NOT_FOUND.into_response() };
    if method == Method::GET {
        return json_response(known.to_bytes());
    }
    let body = serde_json::from_slice::<Value>(&body).unwrap_or_default();
    let expected = query.revision.or_else(|| body["meta"]["revision"].as_u64());
    if expected.is_some_and(|expected| expected != known.revision) {
        return (StatusCode::CONFLICT, json_response(known.to_bytes())).into_response();
    }
    if method == Method::DELETE {
        shared.state().remove(&kind, &name);
        return respond_to_write(&shared, known.to_bytes()).await;
    }
    let row = shared.state().put(&kind, &name, body["spec"].clone());
    respond_to_write(&shared, row.to_bytes()).await
}

async fn promote(State(shared): Shared, headers: HeaderMap, Json(body): Json<Value>) -> Response {
    let Some(request) = parse_promotion(&headers, &body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    if (shared.promotions)(&request) {
        Json(json!({})).into_response()
    } else {
        StatusCode::CONFLICT.into_response()
    }
}

fn parse_promotion(headers: &HeaderMap, body: &Value) -> Option<PromotionRequest> {
    let header = |name: &str| headers.get(name)?.to_str().ok();
    Some(PromotionRequest {
        service: body["service"].as_str()?.to_owned(),
        member: body["id"].as_str()?.to_owned(),
        holder: header("X-Arbutusrudder-Lease-Holder")?.to_owned(),
        token: header("X-Arbutusrudder-Fencing-Token")?.parse().ok()?,
    })
}
