//! HTTP interface of the platform stand-in: objects by the conventions of Kubernetes, and control
//! of faults.

use super::faults::{PlatformFaults, PlatformOutage};
use super::instances::StandinInstance;
use super::listener::ConnectionCut;
use super::objects::{ChangeRefusal, ObjectRow};
use super::state::StandinState;
use axum::extract::{ConnectInfo, Path, Query, State};
use axum::http::header::ACCEPT;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

const OBJECTS: &str = "/apis/arbutusrudder.dev/v1/namespaces/{namespace}/{plural}";
const OBJECT: &str = "/apis/arbutusrudder.dev/v1/namespaces/{namespace}/{plural}/{name}";
const SLICES: &str = "/apis/discovery.k8s.io/v1/namespaces/{namespace}/endpointslices";

/// Kind of a response that omits the object's content.
const METADATA_ONLY: &str = "PartialObjectMetadata";

type Shared = State<Arc<StandinState>>;
type Connection = ConnectInfo<ConnectionCut>;

/// Returns the router with all routes.
pub(crate) fn router(state: Arc<StandinState>) -> Router {
    Router::new()
        .route(OBJECTS, get(list_objects).post(create_object))
        .route(OBJECT, get(get_object).put(replace_object).delete(delete_object))
        .route(SLICES, get(list_slices))
        .route("/standin/faults", post(set_faults))
        .route("/standin/instances", post(set_instances))
        .route("/standin/calls", get(show_calls))
        .with_state(state)
}

#[derive(Deserialize)]
struct ObjectPath {
    namespace: String,
    plural: String,
    name: String,
}

#[derive(Deserialize)]
struct CollectionPath {
    namespace: String,
    plural: String,
}

async fn get_object(
    State(state): Shared,
    ConnectInfo(cut): Connection,
    Path(path): Path<ObjectPath>,
    headers: HeaderMap,
) -> Response {
    begin_call(&state, &cut, false).await;
    let plural = scoped_plural(&path.namespace, &path.plural);
    let found = state.read(&plural, |table| table.get(&plural, &path.name).cloned());
    delay_response(&state).await;
    let accept = headers.get(ACCEPT).and_then(|value| value.to_str().ok()).unwrap_or_default();
    match found {
        None => refusal_response(ChangeRefusal::Absent),
        Some(row) if accept.contains(METADATA_ONLY) => Json(object_metadata(&row)).into_response(),
        Some(row) => object_response(&row),
    }
}

async fn list_objects(
    State(state): Shared,
    ConnectInfo(cut): Connection,
    Path(path): Path<CollectionPath>,
) -> Response {
    begin_call(&state, &cut, false).await;
    let plural = scoped_plural(&path.namespace, &path.plural);
    let (rows, version) = state.read(&plural, |table| (table.list(&plural), table.last_version()));
    delay_response(&state).await;
    let items: Vec<Value> = rows.iter().map(with_version).collect();
    let metadata = json!({ "resourceVersion": version.to_string() });
    Json(json!({ "kind": "List", "apiVersion": "v1", "metadata": metadata, "items": items }))
        .into_response()
}

async fn create_object(
    State(state): Shared,
    ConnectInfo(cut): Connection,
    Path(path): Path<CollectionPath>,
    Json(body): Json<Value>,
) -> Response {
    begin_call(&state, &cut, true).await;
    let plural = scoped_plural(&path.namespace, &path.plural);
    let name = body["metadata"]["name"].as_str().unwrap_or_default().to_owned();
    let result = state.change(&plural, |table| table.create(&plural, &name, body));
    respond_to_change(&state, &cut, result).await
}

async fn replace_object(
    State(state): Shared,
    ConnectInfo(cut): Connection,
    Path(path): Path<ObjectPath>,
    Json(body): Json<Value>,
) -> Response {
    begin_call(&state, &cut, true).await;
    let plural = scoped_plural(&path.namespace, &path.plural);
    let expected = parse_version(&body["metadata"]["resourceVersion"]);
    let result = state.change(&plural, |table| table.replace(&plural, &path.name, expected, body));
    respond_to_change(&state, &cut, result).await
}

async fn delete_object(
    State(state): Shared,
    ConnectInfo(cut): Connection,
    Path(path): Path<ObjectPath>,
    Json(body): Json<Value>,
) -> Response {
    begin_call(&state, &cut, true).await;
    let plural = scoped_plural(&path.namespace, &path.plural);
    let expected = parse_version(&body["preconditions"]["resourceVersion"]);
    let result = state.change(&plural, |table| table.remove(&plural, &path.name, expected));
    finish_change(&state, &cut, result.is_ok()).await;
    match result {
        Ok(()) => Json(json!({ "kind": "Status", "status": "Success" })).into_response(),
        Err(refusal) => refusal_response(refusal),
    }
}

#[derive(Deserialize)]
struct SliceQuery {
    #[serde(rename = "labelSelector", default)]
    label_selector: String,
}

async fn list_slices(
    State(state): Shared,
    ConnectInfo(cut): Connection,
    Query(query): Query<SliceQuery>,
) -> Response {
    begin_call(&state, &cut, false).await;
    let service = query.label_selector.rsplit('=').next().unwrap_or_default().to_owned();
    let slices = state.endpoint_slices(&service);
    delay_response(&state).await;
    Json(slices).into_response()
}

#[derive(Deserialize)]
struct FaultQuery {
    /// Time after which the faults are cleared. It is the only way to end a refusing outage over
    /// HTTP.
    for_ms: Option<u64>,
}

async fn set_faults(
    State(state): Shared,
    Query(query): Query<FaultQuery>,
    Json(faults): Json<PlatformFaults>,
) -> StatusCode {
    state.set_faults(faults);
    if let Some(millis) = query.for_ms {
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            state.set_faults(PlatformFaults::default());
        });
    }
    StatusCode::NO_CONTENT
}

#[derive(Deserialize)]
struct LagQuery {
    #[serde(default)]
    lag_ms: u64,
}

async fn set_instances(
    State(state): Shared,
    Query(query): Query<LagQuery>,
    Json(entries): Json<Vec<StandinInstance>>,
) -> StatusCode {
    state.set_instances(entries, Duration::from_millis(query.lag_ms));
    StatusCode::NO_CONTENT
}

async fn show_calls(State(state): Shared) -> Response {
    Json(state.calls()).into_response()
}

/// Counts the call and applies the faults that precede its effect.
async fn begin_call(state: &StandinState, cut: &ConnectionCut, writes: bool) {
    state.count(writes);
    let faults = state.faults();
    match faults.outage {
        PlatformOutage::None => tokio::time::sleep(faults.half_latency()).await,
        PlatformOutage::Refused => cut.cut().await,
        PlatformOutage::Hanging => std::future::pending().await,
    }
}

/// Applies the latency that follows the effect of a call.
async fn delay_response(state: &StandinState) {
    tokio::time::sleep(state.faults().half_latency()).await;
}

/// Cuts the connection if the response to a completed change is to be lost, or delays it.
async fn finish_change(state: &StandinState, cut: &ConnectionCut, changed: bool) {
    if changed && state.take_lost_response() {
        cut.cut().await;
    }
    delay_response(state).await;
}

async fn respond_to_change(
    state: &StandinState,
    cut: &ConnectionCut,
    result: Result<ObjectRow, ChangeRefusal>,
) -> Response {
    finish_change(state, cut, result.is_ok()).await;
    match result {
        Ok(_) if state.take_gateway_timeout() => StatusCode::GATEWAY_TIMEOUT.into_response(),
        Ok(row) => object_response(&row),
        Err(refusal) => refusal_response(refusal),
    }
}

/// Prefixes a kind with its namespace, which separates the objects of different namespaces.
fn scoped_plural(namespace: &str, plural: &str) -> String {
    format!("{namespace}/{plural}")
}

fn parse_version(value: &Value) -> Option<u64> {
    value.as_str()?.parse().ok()
}

fn with_version(row: &ObjectRow) -> Value {
    let mut body = row.body.clone();
    body["metadata"]["resourceVersion"] = json!(row.version.to_string());
    body
}

fn object_metadata(row: &ObjectRow) -> Value {
    let metadata = json!({ "name": row.name, "resourceVersion": row.version.to_string() });
    json!({ "kind": METADATA_ONLY, "apiVersion": "meta.k8s.io/v1", "metadata": metadata })
}

fn object_response(row: &ObjectRow) -> Response {
    Json(with_version(row)).into_response()
}

fn refusal_response(refusal: ChangeRefusal) -> Response {
    let (code, reason) = match refusal {
        ChangeRefusal::Conflict => (StatusCode::CONFLICT, "Conflict"),
        ChangeRefusal::Absent => (StatusCode::NOT_FOUND, "NotFound"),
    };
    let status = json!({
        "kind": "Status",
        "apiVersion": "v1",
        "status": "Failure",
        "reason": reason,
        "message": reason,
        "code": code.as_u16(),
    });
    (code, Json(status)).into_response()
}
