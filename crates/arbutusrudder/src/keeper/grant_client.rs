//! Reads and changes the succession grant of one group in the platform.

use displaydoc::Display;
use rudder_core::{
    InstanceName, KeeperSeat, LogTerm, MemberName, ServiceName, SuccessionGrant, WriterMark,
};
use rudder_store::{ObjectKind, ObjectVersion, PlatformStore, StoreError};
use std::sync::Arc;

/// Rounds of reading and conditional update before a keeper leaves the object to the others.
const UPDATE_ATTEMPTS_MAX: u32 = 4;

/// Why the grant could not be read or changed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(super) enum GrantClientError {
    /// the platform did not serve the succession grant: {0}
    Store(StoreError),
    /// the succession grant in the platform is not valid: {0}; correct the object
    Malformed(String),
    /// other keepers change the succession grant at the same time; trying again later
    Contended,
}

impl std::error::Error for GrantClientError {}

impl From<StoreError> for GrantClientError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<serde_json::Error> for GrantClientError {
    fn from(error: serde_json::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

/// One group's grant in the platform.
#[derive(Clone)]
pub(super) struct GrantClient {
    store: Arc<dyn PlatformStore>,
    service: ServiceName,
    instance: InstanceName,
}

impl GrantClient {
    pub(super) fn new(
        store: Arc<dyn PlatformStore>,
        service: ServiceName,
        instance: InstanceName,
    ) -> Self {
        Self { store, service, instance }
    }

    /// Takes the next term by conditional update. `accepted` is the greatest term that members
    /// are known to have accepted.
    pub(super) async fn take_term(&self, accepted: LogTerm) -> Result<LogTerm, GrantClientError> {
        let mark = WriterMark::random();
        for _ in 0..UPDATE_ATTEMPTS_MAX {
            let (version, grant) = self.read_or_create(accepted).await?;
            // Guards against a lost answer: the update may have taken effect, also after an
            // earlier round read the old version. Only the mark shows it; the holder's name does
            // not, since a restarted instance bears the same.
            if *grant.mark() == mark {
                return Ok(grant.term());
            }
            let taken = grant.take(self.instance.clone(), accepted, mark.clone());
            match self.put(Some(&version), &taken).await {
                Ok(()) => return Ok(taken.term()),
                Err(GrantClientError::Store(StoreError::Conflict | StoreError::Unresolved)) => {}
                Err(error) => return Err(error),
            }
        }
        Err(GrantClientError::Contended)
    }

    /// Makes sure that the grant reserves a term for this run, and returns the grant.
    pub(super) async fn reserve_term(
        &self,
        seat: &KeeperSeat,
        keepers: &[InstanceName],
        accepted: LogTerm,
    ) -> Result<SuccessionGrant, GrantClientError> {
        self.change(accepted, |grant| grant.enrol(seat, keepers, accepted)).await
    }

    /// Writes down the confirmed primary, and returns the grant.
    pub(super) async fn record_primary(
        &self,
        primary: &MemberName,
        term: LogTerm,
    ) -> Result<SuccessionGrant, GrantClientError> {
        self.change(term, |grant| grant.settle(primary, term)).await
    }

    /// Applies an idempotent change until it has nothing left to do.
    async fn change(
        &self,
        accepted: LogTerm,
        edit: impl Fn(&SuccessionGrant) -> Option<SuccessionGrant> + Send,
    ) -> Result<SuccessionGrant, GrantClientError> {
        for _ in 0..UPDATE_ATTEMPTS_MAX {
            let (version, grant) = self.read_or_create(accepted).await?;
            let Some(changed) = edit(&grant) else { return Ok(grant) };
            match self.put(Some(&version), &changed).await {
                Ok(()) => return Ok(changed),
                Err(GrantClientError::Store(StoreError::Conflict | StoreError::Unresolved)) => {}
                Err(error) => return Err(error),
            }
        }
        Err(GrantClientError::Contended)
    }

    async fn read_or_create(
        &self,
        accepted: LogTerm,
    ) -> Result<(ObjectVersion, SuccessionGrant), GrantClientError> {
        for _ in 0..UPDATE_ATTEMPTS_MAX {
            let name = self.service.as_str();
            if let Some(object) = self.store.get(ObjectKind::SuccessionGrant, name).await? {
                return Ok((object.version, serde_json::from_value(object.spec)?));
            }
            let holder = self.instance.clone();
            let first = SuccessionGrant::first(holder, accepted, WriterMark::random());
            match self.put(None, &first).await {
                Ok(())
                | Err(GrantClientError::Store(StoreError::Conflict | StoreError::Unresolved)) => {}
                Err(error) => return Err(error),
            }
        }
        Err(GrantClientError::Contended)
    }

    async fn put(
        &self,
        expected: Option<&ObjectVersion>,
        grant: &SuccessionGrant,
    ) -> Result<(), GrantClientError> {
        let spec = serde_json::to_value(grant)?;
        let name = self.service.as_str();
        self.store.put(ObjectKind::SuccessionGrant, name, expected, spec).await?;
        Ok(())
    }
}
