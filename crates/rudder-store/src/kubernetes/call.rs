//! A call to the API with a timeout, metrics and classified errors.

use super::error::{CallError, read_error, write_error};
use crate::store::StoreError;
use http::Request;
use kube::Client;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::{Duration, Instant};

const JSON: &str = "application/json";

/// Media type for an object's metadata without its content.
const METADATA_ONLY: &str = "application/json;as=PartialObjectMetadata;g=meta.k8s.io;v=v1";

/// Operation of a call, as labelled in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ApiVerb {
    Get,
    Version,
    List,
    Create,
    Replace,
    Delete,
}

impl ApiVerb {
    fn label(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Version => "version",
            Self::List => "list",
            Self::Create => "create",
            Self::Replace => "replace",
            Self::Delete => "delete",
        }
    }

    fn method(self) -> http::Method {
        match self {
            Self::Get | Self::Version | Self::List => http::Method::GET,
            Self::Create => http::Method::POST,
            Self::Replace => http::Method::PUT,
            Self::Delete => http::Method::DELETE,
        }
    }

    /// Returns the media type that the response should have.
    fn accept(self) -> &'static str {
        match self {
            Self::Version => METADATA_ONLY,
            _ => JSON,
        }
    }
}

/// A call to the API that has not been sent yet.
pub(crate) struct ApiCall<'c> {
    pub(crate) client: &'c Client,
    pub(crate) verb: ApiVerb,
    pub(crate) path: String,
    pub(crate) timeout: Duration,
}

impl ApiCall<'_> {
    /// Sends a read call. Returns `None` if the object does not exist.
    pub(crate) async fn read<T: DeserializeOwned>(&self) -> Result<Option<T>, StoreError> {
        match self.send(Vec::new()).await {
            Ok(value) => Ok(Some(value)),
            Err(CallError::ErrorResponse(status)) if status.code == 404 => Ok(None),
            Err(error) => Err(read_error(&error)),
        }
    }

    /// Sends a write call.
    pub(crate) async fn write<T: DeserializeOwned>(
        &self,
        body: &(impl Serialize + Sync),
    ) -> Result<T, StoreError> {
        let bytes = serde_json::to_vec(body).map_err(|error| {
            StoreError::Refused(format!("the object cannot be serialized as JSON: {error}"))
        })?;
        self.send(bytes).await.map_err(|error| write_error(self.verb, &error))
    }

    async fn send<T: DeserializeOwned>(&self, body: Vec<u8>) -> Result<T, CallError> {
        let request = Request::builder()
            .method(self.verb.method())
            .uri(&self.path)
            .header(http::header::CONTENT_TYPE, JSON)
            .header(http::header::ACCEPT, self.verb.accept())
            .body(body)
            .map_err(|error| CallError::NotSent(error.to_string()))?;
        let started = Instant::now();
        // Without a timeout, an unresponsive platform would block the caller forever.
        let response = tokio::time::timeout(self.timeout, self.client.request(request)).await;
        let result = match response {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(error)) => Err(CallError::from(error)),
            Err(_) => Err(CallError::TimedOut),
        };
        let verb = self.verb.label();
        let outcome = result.as_ref().map_or_else(CallError::label, |_| "ok");
        if let Err(error) = &result {
            let path = &self.path;
            log::debug!(target: "rudder::platform", verb, path:% = path, outcome, reason:% = error; "call");
        }
        metrics::counter!("rudder_platform_calls_total", "verb" => verb, "outcome" => outcome)
            .increment(1);
        metrics::histogram!("rudder_platform_call_seconds", "verb" => verb)
            .record(started.elapsed().as_secs_f64());
        result
    }
}
