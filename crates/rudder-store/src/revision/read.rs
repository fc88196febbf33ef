//! Reading the accepted revision and its files.

use super::bundle::{BundleFile, RevisionBundle};
use super::record::{FileRecord, REVISION_OBJECT, RevisionFile, SettingsRevision};
use crate::store::{ObjectKind, ObjectVersion, PlatformStore, StoreError, StoredObject};
use displaydoc::Display;
use rudder_settings::SettingsFile;

/// Up to so many files are read one by one; a list also brings texts that are no longer wanted.
const SINGLE_READS_MAX: usize = 3;

/// Why a revision could not be read.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum ReadError {
    /// {0}
    Store(StoreError),
    /// object {object} does not have the shape of this version: {reason}
    Malformed {
        /// The object.
        object: String,
        /// What does not fit.
        reason: String,
    },
    /// object {0} is gone: a newer revision was accepted meanwhile; read again
    Missing(String),
}

impl std::error::Error for ReadError {}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// Reads the accepted revision and its version; none before the first submission.
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
/// When the platform gives no answer, or the object has another shape.
pub async fn read_revision(
    store: &dyn PlatformStore,
) -> Result<Option<(ObjectVersion, SettingsRevision)>, ReadError> {
    let object = store.get(ObjectKind::SettingsRevision, REVISION_OBJECT).await?;
    let Some(object) = object else { return Ok(None) };
    let revision = decode_spec(REVISION_OBJECT, object.spec)?;
    Ok(Some((object.version, revision)))
}

/// Reads the accepted revision if its number is greater than that of `cached`; files that `cached`
/// has are not read again. The one small read that finds nothing new is the usual case.
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
/// When the platform gives no answer, an object has another shape, or a file was removed because a
/// still newer revision was accepted meanwhile.
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

/// Whether the platform still has the object that `cached` was read from.
async fn is_unchanged(
    store: &dyn PlatformStore,
    cached: Option<&RevisionBundle>,
) -> Result<bool, ReadError> {
    let Some(version) = cached.and_then(|cached| cached.version.as_ref()) else { return Ok(false) };
    let now = store.version(ObjectKind::SettingsRevision, REVISION_OBJECT).await?;
    Ok(now.as_ref() == Some(version))
}

/// Reads the texts of files, taking those that `cached` has from there.
///
/// Many missing files are read by one list: an instance that starts, or an operator who submits,
/// would else wait for as many answers as there are files.
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

/// Reads a file from a list that is sorted by name, or else from the platform.
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

/// Reads an object's content into its type.
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
