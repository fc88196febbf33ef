//! The platform's object API in the form of the Kubernetes API, accessed through the `kube` client.
//!
//! Of `kube`, only plain requests and responses are used: no controllers, caches, leases or leader
//! election.

mod call;
mod error;
mod slice;
mod wire;

#[cfg(test)]
mod tests;

use crate::store::StoredObject;
use crate::store::{InstanceEntry, ObjectKind, ObjectVersion, PlatformStore, StoreError};
use async_trait::async_trait;
use call::{ApiCall, ApiVerb};
use k8s_openapi::api::discovery::v1::EndpointSlice;
use kube::{Client, Config};
use rudder_core::plain_data;
use std::time::Duration;
use wire::{ListWire, ObjectWire, VersionWire};

/// API group and version of the object kinds defined by this project.
const API_VERSION: &str = "arbutusrudder.dev/v1";

/// The platform normally responds in milliseconds; after this time it counts as unavailable.
const CALL_TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);

plain_data! {
    /// Address of the platform and options for calls to it.
    pub struct PlatformOptions {
        /// Address of the API, such as `https://10.20.0.1:6443`. `None` uses the address,
        /// certificate and token that a cluster provides to its own processes.
        pub address: Option<String>,
        /// Namespace of the objects.
        pub namespace: String,
        /// Service whose instances are listed.
        pub service: String,
        /// Timeout of one call.
        pub call_timeout: Duration,
    }
}

impl PlatformOptions {
    /// Creates options with this address and defaults for everything else.
    ///
    /// ```
    /// let options = rudder_store::PlatformOptions::at("http://127.0.0.1:18001");
    /// assert_eq!(options.namespace, "default");
    /// ```
    #[must_use]
    pub fn at(address: &str) -> Self {
        Self { address: Some(address.to_owned()), ..Self::default() }
    }
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: None,
            namespace: "default".to_owned(),
            service: "arbutusrudder".to_owned(),
            call_timeout: CALL_TIMEOUT_DEFAULT,
        }
    }
}

/// A platform store backed by the Kubernetes API. Clones share connections.
#[derive(Clone)]
pub struct KubeStore {
    client: Client,
    options: PlatformOptions,
}

impl KubeStore {
    /// Creates a store that connects on its first call. Needs a running tokio runtime.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_store::{KubeStore, PlatformOptions};
    /// let store = KubeStore::connect(PlatformOptions::at("http://127.0.0.1:18001"))?;
    /// # Ok::<(), rudder_store::StoreError>(()) })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if the address is invalid, or if there is no address and the process does
    /// not run in a cluster.
    pub fn connect(options: PlatformOptions) -> Result<Self, StoreError> {
        let refused = |reason: &dyn std::fmt::Display| {
            StoreError::Refused(format!("the platform's address is not usable: {reason}"))
        };
        let mut config = match &options.address {
            Some(address) => {
                let uri: http::Uri = address.parse().map_err(|error| refused(&error))?;
                if uri.scheme().is_none() || uri.authority().is_none() {
                    return Err(refused(&format!("\"{address}\" is not http://HOST:PORT")));
                }
                Config::new(uri)
            }
            None => Config::incluster().map_err(|error| refused(&error))?,
        };
        // The client must not retry by itself: if the response to a successful write is lost, the
        // retry results in a conflict, and the writer would treat its success as a failure.
        config.default_retry = false;
        config.connect_timeout = Some(options.call_timeout);
        let client = Client::try_from(config).map_err(|error| refused(&error))?;
        Ok(Self { client, options })
    }

    fn collection(&self, kind: ObjectKind) -> String {
        let namespace = &self.options.namespace;
        format!("/apis/{API_VERSION}/namespaces/{namespace}/{}", kind.plural())
    }

    fn object(&self, kind: ObjectKind, name: &str) -> String {
        format!("{}/{name}", self.collection(kind))
    }

    fn slices(&self) -> String {
        let namespace = &self.options.namespace;
        let service = &self.options.service;
        format!(
            "/apis/discovery.k8s.io/v1/namespaces/{namespace}/endpointslices\
             ?labelSelector=kubernetes.io/service-name%3D{service}"
        )
    }

    fn call(&self, verb: ApiVerb, path: String) -> ApiCall<'_> {
        ApiCall { client: &self.client, verb, path, timeout: self.options.call_timeout }
    }
}

#[async_trait]
impl PlatformStore for KubeStore {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let call = self.call(ApiVerb::Get, self.object(kind, name));
        let wire: Option<ObjectWire> = call.read().await?;
        wire.map(StoredObject::try_from).transpose()
    }

    async fn version(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<ObjectVersion>, StoreError> {
        let call = self.call(ApiVerb::Version, self.object(kind, name));
        let wire: Option<VersionWire> = call.read().await?;
        wire.map(ObjectVersion::try_from).transpose()
    }

    async fn list(&self, kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        let call = self.call(ApiVerb::List, self.collection(kind));
        let wire: Option<ListWire<ObjectWire>> = call.read().await?;
        let items = wire.map(|list| list.items).unwrap_or_default();
        let objects: Result<Vec<_>, _> = items.into_iter().map(StoredObject::try_from).collect();
        let mut objects = objects?;
        objects.sort_by(|one, other| one.name.cmp(&other.name));
        Ok(objects)
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Option<&ObjectVersion>,
        spec: serde_json::Value,
    ) -> Result<StoredObject, StoreError> {
        let wire = ObjectWire::new(kind, name, &self.options.namespace, expected, spec);
        let call = match expected {
            Some(_) => self.call(ApiVerb::Replace, self.object(kind, name)),
            None => self.call(ApiVerb::Create, self.collection(kind)),
        };
        let stored: ObjectWire = call.write(&wire).await?;
        StoredObject::try_from(stored)
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: &ObjectVersion,
    ) -> Result<(), StoreError> {
        let call = self.call(ApiVerb::Delete, self.object(kind, name));
        let options = wire::DeleteWire::new(expected);
        let _: serde_json::Value = call.write(&options).await?;
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        let call = self.call(ApiVerb::List, self.slices());
        let wire: Option<ListWire<EndpointSlice>> = call.read().await?;
        Ok(slice::instances_from_slices(&wire.map(|list| list.items).unwrap_or_default()))
    }
}
