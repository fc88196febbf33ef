//! In-memory fakes of the platform store and of the vote exchange.

use crate::keeper::{KeeperEntry, KeeperRanking, ObserverExchange};
use async_trait::async_trait;
use rudder_core::{InstanceName, ObserverVote, ServiceName, VoteKind};
use rudder_store::{
    InstanceEntry, ObjectKind, ObjectVersion, PlatformStore, StoreError, StoredObject,
};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CALL_DELAY: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlatformFault {
    None,
    /// Calls never return.
    Hangs,
    /// Updates take effect, but their responses are lost.
    LosesResponses,
    /// Objects cannot be removed.
    RejectsDeletes,
}

pub(super) struct FakePlatform {
    objects: Mutex<Vec<(ObjectKind, StoredObject)>>,
    pub(super) fault: Mutex<PlatformFault>,
}

impl FakePlatform {
    pub(super) fn new() -> Arc<Self> {
        let fault = Mutex::new(PlatformFault::None);
        Arc::new(Self { objects: Mutex::default(), fault })
    }

    async fn fault(&self) -> PlatformFault {
        tokio::time::sleep(CALL_DELAY).await;
        let fault = *self.fault.lock().expect("no panic while held");
        if fault == PlatformFault::Hangs {
            std::future::pending::<()>().await;
        }
        fault
    }

    fn change(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Option<&ObjectVersion>,
        spec: Option<serde_json::Value>,
    ) -> Result<Option<StoredObject>, StoreError> {
        let mut objects = self.objects.lock().expect("no panic while held");
        let index =
            objects.iter().position(|(known, object)| *known == kind && object.name == name);
        if index.map(|index| &objects[index].1.version) != expected {
            return Err(StoreError::Conflict);
        }
        let number = expected.map_or(0, |version| version.0.parse::<u64>().expect("a number"));
        index.map(|index| objects.remove(index));
        let version = ObjectVersion((number + 1).to_string());
        let object = spec.map(|spec| StoredObject { name: name.to_owned(), version, spec });
        objects.extend(object.clone().map(|object| (kind, object)));
        Ok(object)
    }
}

#[async_trait]
impl PlatformStore for FakePlatform {
    async fn get(&self, kind: ObjectKind, name: &str) -> Result<Option<StoredObject>, StoreError> {
        self.fault().await;
        let objects = self.objects.lock().expect("no panic while held");
        let found = objects.iter().find(|(known, object)| *known == kind && object.name == name);
        Ok(found.map(|(_, object)| object.clone()))
    }

    async fn list(&self, _kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        Ok(Vec::new())
    }

    async fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: Option<&ObjectVersion>,
        spec: serde_json::Value,
    ) -> Result<StoredObject, StoreError> {
        let fault = self.fault().await;
        let object = self.change(kind, name, expected, Some(spec))?;
        if fault == PlatformFault::LosesResponses {
            return Err(StoreError::OutcomeUnknown);
        }
        object.ok_or(StoreError::Conflict)
    }

    async fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected: &ObjectVersion,
    ) -> Result<(), StoreError> {
        if self.fault().await == PlatformFault::RejectsDeletes {
            return Err(StoreError::Unavailable);
        }
        self.change(kind, name, Some(expected), None).map(drop)
    }

    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        Ok(Vec::new())
    }
}

/// All votes in the order in which they were cast.
#[derive(Default)]
pub(super) struct VoteLog(Mutex<Vec<ObserverVote>>);

pub(super) struct FakeExchange {
    own: KeeperEntry,
    ranking: KeeperRanking,
    votes: Arc<VoteLog>,
    read_count: AtomicUsize,
}

impl FakeExchange {
    pub(super) fn new(own: KeeperEntry, ranking: KeeperRanking, votes: Arc<VoteLog>) -> Self {
        Self { own, ranking, votes, read_count: AtomicUsize::new(0) }
    }
}

impl ObserverExchange for FakeExchange {
    fn send_vote(&self, _service: &ServiceName, kind: VoteKind) {
        let KeeperEntry { instance, domain } = self.own.clone();
        let vote = ObserverVote { observer: instance, domain, kind, at: Duration::ZERO };
        self.votes.0.lock().expect("no panic while held").push(vote);
    }

    fn take_votes(&self, _service: &ServiceName) -> Vec<ObserverVote> {
        let votes = self.votes.0.lock().expect("no panic while held");
        let read_count = self.read_count.swap(votes.len(), Ordering::Relaxed);
        let is_other = |vote: &&ObserverVote| vote.observer != self.own.instance;
        votes[read_count..].iter().filter(is_other).cloned().collect()
    }

    fn ranking(&self, _service: &ServiceName) -> KeeperRanking {
        self.ranking.clone()
    }
}

pub(super) fn entry(index: usize) -> KeeperEntry {
    let instance: InstanceName = format!("inst-{index}").parse().expect("a valid name");
    let domain = format!("zone-{index}").parse().expect("a valid name");
    KeeperEntry { instance, domain }
}
