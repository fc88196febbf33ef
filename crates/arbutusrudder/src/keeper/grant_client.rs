//! Reads and updates the succession grant of one group in the platform.

use displaydoc::Display;
use rudder_core::{
    InstanceName, KeeperRun, LogTerm, MemberName, ServiceName, SuccessionGrant, WriterMark,
};
use rudder_store::{ObjectKind, ObjectVersion, PlatformStore, StoreError};
use std::sync::Arc;

/// Maximum number of attempts to read the grant and update it conditionally before a keeper gives
/// up in favour of the keepers that change it at the same time.
const UPDATE_ATTEMPTS_MAX: u32 = 4;

/// Reason why the grant could not be read or updated.
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

/// Client for one group's grant in the platform.
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

    /// Grants this instance the next term by a conditional update. `accepted` is the greatest term
    /// that members are known to have accepted.
    pub(super) async fn grant_next_term(
        &self,
        accepted: LogTerm,
    ) -> Result<LogTerm, GrantClientError> {
        let mark = WriterMark::random();
        for _ in 0..UPDATE_ATTEMPTS_MAX {
            let (version, grant) = self.read_or_create(accepted).await?;
            // If the response to an update was lost, the update may have taken effect, even when a
            // later attempt still read the old version. Only the mark shows this; the holder's name
            // does not, since a restarted instance has the same name.
            if *grant.mark() == mark {
                return Ok(grant.term());
            }
            let granted = grant.grant_next_term(self.instance.clone(), accepted, mark.clone());
            match self.put(Some(&version), &granted).await {
                Ok(()) => return Ok(granted.term()),
                Err(GrantClientError::Store(StoreError::Conflict | StoreError::OutcomeUnknown)) => {
                }
                Err(error) => return Err(error),
            }
        }
        Err(GrantClientError::Contended)
    }

    /// Reserves terms for this run unless the grant already has enough, and returns the grant.
    pub(super) async fn reserve_terms(
        &self,
        run: &KeeperRun,
        keepers: &[InstanceName],
        accepted: LogTerm,
    ) -> Result<SuccessionGrant, GrantClientError> {
        self.change(accepted, |grant| grant.reserve_terms(run, keepers, accepted)).await
    }

    /// Records the confirmed primary in the grant, and returns the grant.
    pub(super) async fn record_primary(
        &self,
        primary: &MemberName,
        term: LogTerm,
    ) -> Result<SuccessionGrant, GrantClientError> {
        self.change(term, |grant| grant.record_primary(primary, term)).await
    }

    /// Applies an idempotent change, retrying on conflicts, until the stored grant needs no further
    /// change.
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
                Err(GrantClientError::Store(StoreError::Conflict | StoreError::OutcomeUnknown)) => {
                }
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
                | Err(GrantClientError::Store(StoreError::Conflict | StoreError::OutcomeUnknown)) =>
                    {}
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
