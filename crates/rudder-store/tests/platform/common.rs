//! Test fixtures: a stand-in platform, stores, files, and a store with scripted faults.

use async_trait::async_trait;
use rand::RngExt;
use rand::rngs::SmallRng;
use rudder_settings::SettingsFile;
use rudder_standins::PlatformStandin;
use rudder_store::{
    FolderChange, InstanceEntry, KubeStore, ObjectKind, ObjectVersion, PlatformOptions,
    PlatformStore, SettingsRevision, StoreError, StoredObject, submit_change,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub(crate) async fn standin() -> PlatformStandin {
    let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    PlatformStandin::start(listen).await.expect("a free loopback port")
}

pub(crate) fn store(standin: &PlatformStandin, timeout: Duration) -> KubeStore {
    let options = PlatformOptions { call_timeout: timeout, ..PlatformOptions::at(&standin.url()) };
    KubeStore::connect(options).expect("the stand-in's address is a URL")
}

pub(crate) fn store_with_long_timeout(standin: &PlatformStandin) -> KubeStore {
    store(standin, Duration::from_secs(20))
}

pub(crate) fn file(name: &str, text: &str) -> SettingsFile {
    SettingsFile::new(name, text).expect("the tests use allowed names")
}

/// Creates a file that declares one failure domain with the name of the file.
pub(crate) fn domain_file(stem: &str, region: &str) -> SettingsFile {
    file(&format!("{stem}.toml"), &format!("[domains.{stem}]\nregion = \"{region}\"\n"))
}

pub(crate) fn change(files: &[SettingsFile]) -> FolderChange {
    FolderChange { put: files.to_vec(), ..FolderChange::default() }
}

/// Fault that is injected into one write.
pub(crate) enum PutFault {
    /// The write succeeds.
    None,
    /// The request is lost; the writer sees a lost connection.
    LostRequest,
    /// The write takes effect, but the writer sees a lost connection.
    LostResponse,
    /// The write takes effect, another change is submitted, and the writer sees a lost connection.
    LostResponseAfterSubmission(FolderChange),
    /// The connection is refused.
    ConnectionRefused,
}

/// Injects faults into the calls of a [`FaultyStore`].
#[async_trait]
pub(crate) trait FaultScript: Send + Sync {
    /// Returns the fault of the next write of an object of this kind.
    fn on_put(&self, _kind: ObjectKind) -> PutFault {
        PutFault::None
    }

    /// Runs after a write took effect.
    fn on_stored(&self, _kind: ObjectKind, _spec: &serde_json::Value) {}

    /// Runs before objects are listed.
    fn on_list(&self) {}

    /// Runs after a read, before its result is returned.
    async fn on_read(&self, _inner: &KubeStore, _kind: ObjectKind) {}
}

/// A store that injects the faults of a script into another store.
pub(crate) struct FaultyStore<S> {
    pub(crate) inner: KubeStore,
    pub(crate) script: S,
}

#[async_trait]
impl<S: FaultScript> PlatformStore for FaultyStore<S> {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<StoredObject>, StoreError> {
        let read = self.inner.get(kind, name).await;
        self.script.on_read(&self.inner, kind).await;
        read
    }

    async fn list(&self, kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        self.script.on_list();
        self.inner.list(kind).await
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Option<&ObjectVersion>,
        spec: serde_json::Value,
    ) -> Result<StoredObject, StoreError> {
        let fault = self.script.on_put(kind);
        match fault {
            PutFault::LostRequest => return Err(StoreError::OutcomeUnknown),
            PutFault::ConnectionRefused => return Err(StoreError::Unavailable),
            PutFault::None | PutFault::LostResponse | PutFault::LostResponseAfterSubmission(_) => {}
        }
        let stored = self.inner.put(kind, name, expected, spec).await;
        if let Ok(object) = &stored {
            self.script.on_stored(kind, &object.spec);
        }
        match fault {
            PutFault::None => stored,
            PutFault::LostResponseAfterSubmission(concurrent_change) => {
                submit_change(&self.inner, concurrent_change)
                    .await
                    .expect("the concurrent change is valid");
                Err(StoreError::OutcomeUnknown)
            }
            _ => Err(StoreError::OutcomeUnknown),
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

/// Injects a list of faults into updates of the revision, starting with the last of the list.
pub(crate) struct UpdateFaults(pub(crate) Mutex<Vec<PutFault>>);

#[async_trait]
impl FaultScript for UpdateFaults {
    fn on_put(&self, kind: ObjectKind) -> PutFault {
        match kind {
            ObjectKind::SettingsRevision => {
                self.0.lock().expect("no test panics here").pop().unwrap_or(PutFault::None)
            }
            _ => PutFault::None,
        }
    }
}

/// Submits a change while another writer is pruning: after that writer has listed the files,
/// between its next read of the revision and the result.
pub(crate) struct SubmissionDuringPruning {
    pub(crate) concurrent_change: Mutex<Option<FolderChange>>,
    pub(crate) listed: AtomicBool,
}

#[async_trait]
impl FaultScript for SubmissionDuringPruning {
    fn on_list(&self) {
        self.listed.store(true, Ordering::Relaxed);
    }

    async fn on_read(&self, inner: &KubeStore, kind: ObjectKind) {
        if !self.listed.load(Ordering::Relaxed) || kind != ObjectKind::SettingsRevision {
            return;
        }
        let concurrent_change = self.concurrent_change.lock().expect("no test panics here").take();
        if let Some(concurrent_change) = concurrent_change {
            submit_change(inner, concurrent_change).await.expect("the concurrent change is valid");
        }
    }
}

/// Injects random faults into writes; records every revision that took effect.
pub(crate) struct RandomFaults {
    pub(crate) random: Mutex<SmallRng>,
    pub(crate) revisions: Arc<Mutex<Vec<SettingsRevision>>>,
}

#[async_trait]
impl FaultScript for RandomFaults {
    fn on_put(&self, _kind: ObjectKind) -> PutFault {
        match self.random.lock().expect("no test panics here").random_range(0..10) {
            0 | 1 => PutFault::LostRequest,
            2 | 3 => PutFault::LostResponse,
            4 => PutFault::ConnectionRefused,
            _ => PutFault::None,
        }
    }

    fn on_stored(&self, kind: ObjectKind, spec: &serde_json::Value) {
        if kind == ObjectKind::SettingsRevision {
            let revision = serde_json::from_value(spec.clone()).expect("it was just written");
            self.revisions.lock().expect("no test panics here").push(revision);
        }
    }
}
