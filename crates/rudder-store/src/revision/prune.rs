//! Removing file objects that no recent revision names.

use super::read::{ReadError, decode_spec, read_revision};
use super::record::{FileRecord, KEEP_REVISIONS, SettingsRevision};
use crate::store::{ObjectKind, PlatformStore, StoreError, StoredObject};

/// Removes what no reader and no writer can still want; returns how many objects went.
///
/// Guards against removing a file that another operator is about to name in a revision. The list is
/// read before the revision, removal is conditional on the listed version, and a writer first
/// renews the object that it wants: either the renewal comes after the list, then the removal
/// meets another version, or before, then the object is too young to be removed.
pub(crate) async fn prune_files(store: &dyn PlatformStore) -> Result<usize, ReadError> {
    let objects = store.list(ObjectKind::SettingsFile).await?;
    let Some((_, revision)) = read_revision(store).await? else { return Ok(0) };
    let mut removed = 0;
    for object in objects {
        if !is_prunable(&object, &revision)? {
            continue;
        }
        match store.delete(ObjectKind::SettingsFile, &object.name, &object.version).await {
            Ok(()) => removed += 1,
            Err(StoreError::Conflict) => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(removed)
}

fn is_prunable(object: &StoredObject, revision: &SettingsRevision) -> Result<bool, ReadError> {
    let named = revision.files.iter().any(|file| file.object == object.name);
    let recent = revision.retired.iter().any(|retired| retired.object == object.name);
    if named || recent {
        return Ok(false);
    }
    let record: FileRecord = decode_spec(&object.name, object.spec.clone())?;
    Ok(record.since.0 + KEEP_REVISIONS < revision.number.0)
}
