//! Putting a file's object where readers will look for it.

use super::attempt::AttemptError;
use super::read::{ReadError, decode_spec};
use super::record::{FileRecord, RevisionNumber, object_name};
use crate::store::{ObjectKind, PlatformStore};
use rudder_settings::SettingsFile;

/// Makes sure that a file's object exists and is too young to be pruned.
///
/// A lost answer or a conflict fails the attempt; the next one finds the object, or puts it again.
/// Names stand for contents, so putting twice does no harm.
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

/// Guards against two texts with one hash: the earlier one would be in force under the later name.
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
