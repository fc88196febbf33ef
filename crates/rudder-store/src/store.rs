//! Interface to the platform's object API: the store trait, its objects and its errors.

use async_trait::async_trait;
use displaydoc::Display;
use rudder_core::{InstanceName, plain_data};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Kinds of object that are stored in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// One file of the operators' settings folder.
    SettingsFile,
    /// Accepted revision of the folder; a single object.
    SettingsRevision,
    /// Permission to promote a new primary in a group; one object per service.
    SuccessionGrant,
    /// An operator's order for a planned switch of primary in a group.
    SwitchOrder,
    /// Current primary of a service, or the instance that is changing it; one object per service.
    PrimaryRecord,
    /// One running instance, for discovery by other instances; one object per instance.
    InstanceRecord,
    /// Instance that confirms contact for the operation limits of accounts; a single object.
    LimitAuthority,
}

impl ObjectKind {
    /// Returns the plural resource name in the platform's API.
    ///
    /// ```
    /// assert_eq!(rudder_store::ObjectKind::SettingsFile.plural(), "settingsfiles");
    /// ```
    #[must_use]
    pub const fn plural(self) -> &'static str {
        match self {
            Self::SettingsFile => "settingsfiles",
            Self::SettingsRevision => "settingsrevisions",
            Self::SuccessionGrant => "successiongrants",
            Self::SwitchOrder => "switchorders",
            Self::PrimaryRecord => "primaryrecords",
            Self::InstanceRecord => "instancerecords",
            Self::LimitAuthority => "limitauthorities",
        }
    }

    /// Returns the kind's name in the platform's API.
    ///
    /// ```
    /// assert_eq!(rudder_store::ObjectKind::SettingsFile.singular(), "SettingsFile");
    /// ```
    #[must_use]
    pub const fn singular(self) -> &'static str {
        match self {
            Self::SettingsFile => "SettingsFile",
            Self::SettingsRevision => "SettingsRevision",
            Self::SuccessionGrant => "SuccessionGrant",
            Self::SwitchOrder => "SwitchOrder",
            Self::PrimaryRecord => "PrimaryRecord",
            Self::InstanceRecord => "InstanceRecord",
            Self::LimitAuthority => "LimitAuthority",
        }
    }
}

/// Version of an object. It is opaque and only compared for equality.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub String);

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

plain_data! {
    /// An object as stored in the platform.
    pub struct StoredObject {
        /// Name of the object, unique within its kind.
        pub name: String,
        /// Version to pass in a conditional update.
        pub version: ObjectVersion,
        /// Content of the object.
        pub spec: serde_json::Value,
    }
}

plain_data! {
    /// One entry of the platform's instance list.
    pub struct InstanceEntry {
        /// Name of the instance.
        pub name: InstanceName,
        /// IP address for peers.
        pub address: std::net::IpAddr,
        /// Readiness according to the platform.
        pub readiness: InstanceReadiness,
    }
}

/// Readiness of an instance according to the platform, which may lag.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceReadiness {
    /// The instance is live.
    Ready,
    /// The instance is shutting down.
    Leaving,
}

/// Errors of calls to the platform.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum StoreError {
    /// the object changed since it was read; read it again
    Conflict,
    /// the platform cannot be reached or did not respond in time; nothing was changed
    Unavailable,
    /// the response was lost: the change may have taken effect; read the object back
    OutcomeUnknown,
    /// the platform rejected the call: {0}
    Refused(String),
}

impl std::error::Error for StoreError {}

/// The subset of the platform's object API that is used here.
#[async_trait]
pub trait PlatformStore: Send + Sync {
    /// Reads one object.
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<StoredObject>, StoreError>;

    /// Reads the version of an object, which is cheaper than reading the object if the platform
    /// supports it.
    async fn version(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<ObjectVersion>, StoreError> {
        Ok(self.get(kind, name).await?.map(|object| object.version))
    }

    /// Reads all objects of a kind, sorted by name.
    async fn list(&self, kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError>;

    /// Reads all objects of a kind, sorted by name, from a cache if the platform has one. The
    /// result may be seconds old.
    async fn list_cached(&self, kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        self.list(kind).await
    }

    /// Creates an object, or returns the existing object with the same name.
    async fn create_or_get(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: serde_json::Value,
    ) -> Result<StoredObject, StoreError> {
        match self.put(kind, name, None, spec).await {
            Err(StoreError::Conflict | StoreError::OutcomeUnknown) => {
                self.get(kind, name).await?.ok_or(StoreError::OutcomeUnknown)
            }
            created => created,
        }
    }

    /// Creates an object if `expected` is `None`, or else replaces it if it still has the version
    /// `expected`.
    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Option<&ObjectVersion>,
        spec: serde_json::Value,
    ) -> Result<StoredObject, StoreError>;

    /// Removes an object if it still has the version `expected`.
    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: &ObjectVersion,
    ) -> Result<(), StoreError>;

    /// Reads the live and leaving instances, sorted by name. The platform's list may lag.
    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError>;
}
