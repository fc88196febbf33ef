//! Reads the accepted revision and its files.

use super::bundle::{BundleFile, RevisionBundle};
use super::record::{FileRecord, REVISION_OBJECT, RevisionFile, SettingsRevision};
use crate::store::{ObjectKind, ObjectVersion, PlatformStore, StoreError, StoredObject};
use displaydoc::Display;
use rudder_settings::SettingsFile;

/// Maximum number of files that are read individually. Listing all files instead also transfers
/// content that is no longer needed.
const SINGLE_READS_MAX: usize = 3;

/// Reasons why a revision cannot be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum ReadError {
    /// {0}
    Store(StoreError),
    /// object {object} cannot be decoded by this version: {reason}
    Malformed {
        /// Name of the object.
        object: String,
        /// Error message of the decoder.
        reason: String,
    },
    /// object {0} no longer exists: a newer revision was accepted meanwhile; read again
    Missing(String),
}

impl std::error::Error for ReadError {}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// Reads the accepted revision and its version. Returns `None` before the first submission.
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// # let standin = rudder_standins::PlatformStandin::start("127.0.0.1:0".parse()?).await?;
/// # let address = standin.url();
/// use rudder_store::{KubeStore, PlatformOptions, read_revision};
/// let store = KubeStore::connect(PlatformOptions::at(&address))?;
/// assert_eq!(read_revision(&store).await?, None);
/// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
///
/// # Errors
///
/// Returns an error if the platform does not respond, or if the object cannot be decoded.
pub async fn read_revision(
    store: &dyn PlatformStore,
) -> Result<Option<(ObjectVersion, SettingsRevision)>, ReadError> {
    let object = store.get(ObjectKind::SettingsRevision, REVISION_OBJECT).await?;
    let Some(object) = object else { return Ok(None) };
    let revision = decode_spec(REVISION_OBJECT, object.spec)?;
    Ok(Some((object.version, revision)))
}

/// Reads the accepted revision if its number is greater than that of `cached`. Files that `cached`
/// has are not read again. Usually there is no new revision, which takes a single read of the
/// version.
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// # let standin = rudder_standins::PlatformStandin::start("127.0.0.1:0".parse()?).await?;
/// # let address = standin.url();
/// use rudder_store::{KubeStore, PlatformOptions, poll_revision};
/// let store = KubeStore::connect(PlatformOptions::at(&address))?;
/// assert_eq!(poll_revision(&store, None).await?, None);
/// # Ok::<(), Box<dyn std::error::Error>>(()) })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
///
/// # Errors
///
/// Returns an error if the platform does not respond, an object cannot be decoded, or a file was
/// removed because an even newer revision was accepted in the meantime.
pub async fn poll_revision(
    store: &dyn PlatformStore,
    cached: Option<&RevisionBundle>,
) -> Result<Option<RevisionBundle>, ReadError> {
    if is_unchanged(store, cached).await? {
        return Ok(None);
    }
    let Some((version, revision)) = read_revision(store).await? else { return Ok(None) };
    if cached.is_some_and(|cached| revision.number <= cached.number) {
        return Ok(None);
    }
    let files = read_files(store, &revision.files, cached).await?;
    Ok(Some(RevisionBundle { number: revision.number, version: Some(version), files }))
}

/// Whether the revision object still has the version that `cached` was read from.
async fn is_unchanged(
    store: &dyn PlatformStore,
    cached: Option<&RevisionBundle>,
) -> Result<bool, ReadError> {
    let Some(version) = cached.and_then(|cached| cached.version.as_ref()) else { return Ok(false) };
    let now = store.version(ObjectKind::SettingsRevision, REVISION_OBJECT).await?;
    Ok(now.as_ref() == Some(version))
}

/// Reads files, except those that are in `cached`.
///
/// If many files are missing, a single list call reads them. Otherwise a starting instance or a
/// submitting operator would wait for as many responses as there are files.
pub(crate) async fn read_files(
    store: &dyn PlatformStore,
    files: &[RevisionFile],
    cached: Option<&RevisionBundle>,
) -> Result<Vec<BundleFile>, ReadError> {
    let is_known =
        |file: &&RevisionFile| cached.is_some_and(|cached| cached.file_of(&file.object).is_some());
    let missing = files.len() - files.iter().filter(is_known).count();
    let listed = match missing > SINGLE_READS_MAX {
        true => store.list(ObjectKind::SettingsFile).await?,
        false => Vec::new(),
    };
    let mut bundled = Vec::with_capacity(files.len());
    for file in files {
        let from_known = cached.and_then(|cached| cached.file_of(&file.object)).cloned();
        bundled.push(match from_known {
            Some(cached) => cached,
            None => read_file(store, &listed, &file.object).await?,
        });
    }
    Ok(bundled)
}

/// Returns a file from `listed`, which is sorted by name, or else reads it from the platform.
async fn read_file(
    store: &dyn PlatformStore,
    listed: &[StoredObject],
    name: &str,
) -> Result<BundleFile, ReadError> {
    let object = match listed.binary_search_by(|object| object.name.as_str().cmp(name)) {
        Ok(index) => Some(listed[index].clone()),
        Err(_) => store.get(ObjectKind::SettingsFile, name).await?,
    };
    let object = object.ok_or_else(|| ReadError::Missing(name.to_owned()))?;
    let record: FileRecord = decode_spec(name, object.spec)?;
    let file = SettingsFile { name: record.file, text: record.text };
    Ok(BundleFile { object: name.to_owned(), file })
}

/// Decodes the content of an object.
pub(crate) fn decode_spec<T: serde::de::DeserializeOwned>(
    object: &str,
    spec: serde_json::Value,
) -> Result<T, ReadError> {
    let decode_error = |error: serde_json::Error| ReadError::Malformed {
        object: object.to_owned(),
        reason: error.to_string(),
    };
    serde_json::from_value(spec).map_err(decode_error)
}
