//! JSON representation of objects in the API.

use super::API_VERSION;
use crate::store::{ObjectKind, ObjectVersion, StoreError, StoredObject};
use serde::{Deserialize, Serialize};

/// An object of one of the kinds defined by this project.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ObjectWire {
    api_version: String,
    kind: String,
    metadata: MetadataWire,
    #[serde(default)]
    spec: serde_json::Value,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct MetadataWire {
    name: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    namespace: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    resource_version: Option<String>,
}

impl ObjectWire {
    pub(crate) fn new(
        kind: ObjectKind,
        name: &str,
        namespace: &str,
        expected: Option<&ObjectVersion>,
        spec: serde_json::Value,
    ) -> Self {
        Self {
            api_version: API_VERSION.to_owned(),
            kind: kind.singular().to_owned(),
            metadata: MetadataWire {
                name: name.to_owned(),
                namespace: Some(namespace.to_owned()),
                resource_version: expected.map(|version| version.0.clone()),
            },
            spec,
        }
    }
}

impl TryFrom<ObjectWire> for StoredObject {
    type Error = StoreError;

    fn try_from(wire: ObjectWire) -> Result<Self, Self::Error> {
        let name = wire.metadata.name.clone();
        let version = wire.metadata.try_into()?;
        Ok(Self { name, version, spec: wire.spec })
    }
}

/// An object without its content.
#[derive(Deserialize)]
pub(crate) struct VersionWire {
    metadata: MetadataWire,
}

impl TryFrom<VersionWire> for ObjectVersion {
    type Error = StoreError;

    fn try_from(wire: VersionWire) -> Result<Self, Self::Error> {
        wire.metadata.try_into()
    }
}

impl TryFrom<MetadataWire> for ObjectVersion {
    type Error = StoreError;

    fn try_from(wire: MetadataWire) -> Result<Self, Self::Error> {
        let unversioned = format!("object {} has no version", wire.name);
        wire.resource_version.map(Self).ok_or(StoreError::Refused(unversioned))
    }
}

/// A list of objects.
#[derive(Deserialize)]
pub(crate) struct ListWire<T> {
    pub(crate) items: Vec<T>,
}

/// Body of a conditional delete request.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct DeleteWire {
    api_version: &'static str,
    kind: &'static str,
    preconditions: PreconditionWire,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct PreconditionWire {
    resource_version: String,
}

impl DeleteWire {
    pub(crate) fn new(expected: &ObjectVersion) -> Self {
        Self {
            api_version: "v1",
            kind: "DeleteOptions",
            preconditions: PreconditionWire { resource_version: expected.0.clone() },
        }
    }
}
