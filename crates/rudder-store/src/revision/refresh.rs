//! Creates or refreshes the object of a submitted file.

use super::attempt::AttemptError;
use super::read::{ReadError, decode_spec};
use super::record::{FileRecord, RevisionNumber, object_name};
use crate::store::{ObjectKind, PlatformStore};
use rudder_settings::SettingsFile;

/// Ensures that a file's object exists and is too recent to be pruned.
///
/// A lost response or a conflict fails the attempt; the next attempt finds the object or writes it
/// again. The name is derived from the content, so writing it twice is idempotent.
pub(crate) async fn refresh_file(
    store: &dyn PlatformStore,
    file: &SettingsFile,
    now: RevisionNumber,
) -> Result<(), AttemptError> {
    let kind = ObjectKind::SettingsFile;
    let name = object_name(file);
    let present = store.get(kind, &name).await?;
    if let Some(object) = &present {
        let known: FileRecord = decode_spec(&name, object.spec.clone())?;
        check_no_collision(&name, file, &known)?;
        if known.since >= now {
            return Ok(());
        }
    }
    let record = FileRecord { file: file.name.clone(), text: file.text.clone(), since: now };
    let spec = serde_json::to_value(&record).expect("texts and numbers are always JSON");
    let expected = present.as_ref().map(|object| &object.version);
    store.put(kind, &name, expected, spec).await?;
    Ok(())
}

/// Rejects a hash collision, which would put the content of the existing object in force instead of
/// the submitted one.
fn check_no_collision(
    name: &str,
    file: &SettingsFile,
    known: &FileRecord,
) -> Result<(), ReadError> {
    if known.text == file.text && known.file == file.name {
        return Ok(());
    }
    let reason = "another text has the same hash; change a comment in the file".to_owned();
    Err(ReadError::Malformed { object: name.to_owned(), reason })
}
