//! The border towards the platform: a trait, its objects and its errors.

use async_trait::async_trait;
use displaydoc::Display;
use rudder_core::{InstanceName, plain_data};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The kinds of object that the project keeps in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// One file of the operators' folder.
    SettingsFile,
    /// The accepted revision of the folder; one object.
    SettingsRevision,
    /// Who may promote in a group; one object per service.
    SuccessionGrant,
    /// An operator's order to a group: a planned switch of primary.
    SwitchOrder,
    /// Which member of a service is the primary, or who is changing it; one object per service.
    PrimaryRecord,
    /// One running instance, so that the others find it; one object per instance.
    InstanceRecord,
}

impl ObjectKind {
    /// The plural resource name in the platform's API.
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
        }
    }

    /// The kind's name in the platform's API.
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
        }
    }
}

/// An object's version: opaque, compared for equality only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub String);

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

plain_data! {
    /// An object as the platform holds it.
    pub struct StoredObject {
        /// The object's name, unique within its kind.
        pub name: String,
        /// The version to hand back in a conditional update.
        pub version: ObjectVersion,
        /// The object's content.
        pub spec: serde_json::Value,
    }
}

plain_data! {
    /// One line of the platform's lagging list of instances.
    pub struct InstanceEntry {
        /// The instance's name.
        pub name: InstanceName,
        /// Its IP number, for peers.
        pub address: std::net::IpAddr,
        /// What the platform believes about it.
        pub readiness: InstanceReadiness,
    }
}

/// What the platform believes about an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InstanceReadiness {
    /// It is live.
    Ready,
    /// It is leaving.
    Leaving,
}

/// Why a call to the platform gave no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum StoreError {
    /// the object changed since it was read; read it again
    Conflict,
    /// the platform cannot be reached or answers too slowly; nothing was changed
    Unavailable,
    /// the answer was lost: the change may have taken effect; read the object back
    Unresolved,
    /// the platform refused the call: {0}
    Refused(String),
}

impl std::error::Error for StoreError {}

/// The platform's object API, as far as the project uses it.
#[async_trait]
pub trait PlatformStore: Send + Sync {
    /// Reads one object.
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<StoredObject>, StoreError>;

    /// Reads one object's version only, which costs less than its content where the platform can
    /// tell them apart.
    async fn version(
        &self,
        kind: ObjectKind,
        name: &str,
    ) -> Result<Option<ObjectVersion>, StoreError> {
        Ok(self.get(kind, name).await?.map(|object| object.version))
    }

    /// Reads all objects of a kind, sorted by name.
    async fn list(&self, kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError>;

    /// The same at less cost where the platform offers it: what is read may be seconds old.
    async fn list_cached(&self, kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        self.list(kind).await
    }

    /// Creates an object, or finds the one that has its name.
    async fn create_or_get(
        &self,
        kind: ObjectKind,
        name: &str,
        spec: serde_json::Value,
    ) -> Result<StoredObject, StoreError> {
        match self.put(kind, name, None, spec).await {
            Err(StoreError::Conflict | StoreError::Unresolved) => {
                self.get(kind, name).await?.ok_or(StoreError::Unresolved)
            }
            created => created,
        }
    }

    /// Creates an object (`expected` is none) or replaces the version that `expected` names.
    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Option<&ObjectVersion>,
        spec: serde_json::Value,
    ) -> Result<StoredObject, StoreError>;

    /// Removes the version that `expected` names.
    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: &ObjectVersion,
    ) -> Result<(), StoreError>;

    /// The lagging list of live and leaving instances, sorted by name.
    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError>;
}
