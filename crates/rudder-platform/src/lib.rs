//! The platform's object API: versioned objects, conditional updates, instance lists.

mod store;

pub use store::{
    InstanceEntry, InstanceReadiness, ObjectKind, ObjectVersion, PlatformStore, StoreError,
    StoredObject,
};
