//! Fixtures of the platform's tests: a stand-in, stores, files, and a store with scripted faults.

use async_trait::async_trait;
use rudder_platform::{
    FolderChange, InstanceEntry, KubeStore, ObjectKind, ObjectVersion, PlatformOptions,
    PlatformStore, StoreError, StoredObject, submit_change,
};
use rudder_settings::SettingsFile;
use rudder_standins::PlatformStandin;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

pub(crate) async fn standin() -> PlatformStandin {
    let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    PlatformStandin::start(listen).await.expect("a free loopback port")
}

pub(crate) fn store(standin: &PlatformStandin, timeout: Duration) -> KubeStore {
    let options = PlatformOptions { call_timeout: timeout, ..PlatformOptions::at(&standin.url()) };
    KubeStore::connect(options).expect("the stand-in's address is a URL")
}

pub(crate) fn patient_store(standin: &PlatformStandin) -> KubeStore {
    store(standin, Duration::from_secs(20))
}

pub(crate) fn file(name: &str, text: &str) -> SettingsFile {
    SettingsFile::new(name, text).expect("the tests use allowed names")
}

/// A file that declares one failure domain named like the file.
pub(crate) fn domain_file(stem: &str, region: &str) -> SettingsFile {
    file(&format!("{stem}.toml"), &format!("[domains.{stem}]\nregion = \"{region}\"\n"))
}

pub(crate) fn change(files: &[SettingsFile]) -> FolderChange {
    FolderChange { put: files.to_vec(), ..FolderChange::default() }
}

/// What happens to one update of the revision.
pub(crate) enum UpdateFault {
    /// It never arrives; the writer sees a broken connection.
    LostRequest,
    /// It takes effect, a rival submits a change, and the writer sees a broken connection.
    LostAnswerThen(FolderChange),
    /// Nobody listens.
    Refused,
}

/// A store that brings faults about at updates of the revision, the last of the list first.
pub(crate) struct ScriptedStore {
    pub(crate) inner: KubeStore,
    pub(crate) faults: Mutex<Vec<UpdateFault>>,
}

/// A store of a writer who is overtaken while pruning: once it has listed the files, a rival submits
/// between the next read of the revision and its answer.
pub(crate) struct OvertakenStore {
    pub(crate) inner: KubeStore,
    pub(crate) rival: Mutex<Option<FolderChange>>,
    pub(crate) listed: AtomicBool,
}

#[async_trait]
impl PlatformStore for OvertakenStore {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let read = self.inner.get(kind, name).await;
        let pruning = self.listed.load(Ordering::Relaxed) && kind == ObjectKind::SettingsRevision;
        let rival = match pruning {
            true => self.rival.lock().expect("no test panics here").take(),
            false => None,
        };
        if let Some(rival) = rival {
            submit_change(&self.inner, rival).await.expect("the rival's change is valid");
        }
        read
    }

    async fn list(&self, kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        self.listed.store(true, Ordering::Relaxed);
        self.inner.list(kind).await
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Option<&ObjectVersion>,
        spec: serde_json::Value,
    ) -> Result<StoredObject, StoreError> {
        self.inner.put(kind, name, expected, spec).await
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: &ObjectVersion,
    ) -> Result<(), StoreError> {
        self.inner.delete(kind, name, expected).await
    }

    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        self.inner.instances().await
    }
}

#[async_trait]
impl PlatformStore for ScriptedStore {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<StoredObject>, StoreError> {
        self.inner.get(kind, name).await
    }

    async fn list(&self, kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        self.inner.list(kind).await
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Option<&ObjectVersion>,
        spec: serde_json::Value,
    ) -> Result<StoredObject, StoreError> {
        let fault = match kind {
            ObjectKind::SettingsRevision => self.faults.lock().expect("no test panics here").pop(),
            _ => None,
        };
        match fault {
            None => self.inner.put(kind, name, expected, spec).await,
            Some(UpdateFault::LostRequest) => Err(StoreError::Unresolved),
            Some(UpdateFault::Refused) => Err(StoreError::Unavailable),
            Some(UpdateFault::LostAnswerThen(rival)) => {
                self.inner.put(kind, name, expected, spec).await?;
                submit_change(&self.inner, rival).await.expect("the rival's change is valid");
                Err(StoreError::Unresolved)
            }
        }
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: &ObjectVersion,
    ) -> Result<(), StoreError> {
        self.inner.delete(kind, name, expected).await
    }

    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        self.inner.instances().await
    }
}
