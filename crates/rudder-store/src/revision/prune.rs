//! Removes file objects that no recent revision references.

use super::read::{ReadError, decode_spec, read_revision};
use super::record::{FileRecord, KEEP_REVISIONS, SettingsRevision};
use crate::store::{ObjectKind, PlatformStore, StoreError, StoredObject};

/// Removes file objects that no reader and no writer can still need. Returns the number of removed
/// objects.
///
/// An object that another operator is about to reference in a revision must not be removed. The
/// list is read before the revision, removal is conditional on the listed version, and a writer
/// refreshes an object before referencing it. If the refresh happens after the list was read, the
/// conditional removal fails because of the new version; if it happens before, the object is too
/// recent to be removed.
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
