//! Writes versions of a service's record.

use super::answers::notify_subscribers;
use super::change::{ChangeError, ChangeRun};
use super::records::read_record;
use super::registry::{CALL_TIMEOUT, with_timeout};
use crate::clock::boot_time;
use crate::lead::{LeadHistory, LeadPhase, LeadRecord, LeaderEpoch, MemberOrder, StoredRecord};
use rudder_store::{ObjectKind, ObjectVersion, StoreError, StoredObject};
use std::time::Duration;

/// Timeout of one write of a record, after which the record is read back to find its outcome. The
/// store responds within milliseconds, and within a third of a second when it is slow.
const WRITE_TIMEOUT: Duration = Duration::from_millis(450);

/// Maximum number of attempts at one write. If half of all responses are lost, one change in thirty
/// fails with this number.
const WRITE_ATTEMPTS: u32 = 5;

/// Version of the record that this instance wrote.
pub(super) struct WrittenRecord {
    pub(super) record: LeadRecord,
    pub(super) history: LeadHistory,
    pub(super) version: ObjectVersion,
    /// Time at which the write was first sent; it took effect later.
    pub(super) sent_at: Duration,
    /// Time at which the response arrived; the write had taken effect by then.
    pub(super) acknowledged_at: Duration,
}

impl ChangeRun<'_> {
    /// Writes a version of the record, on condition that the previous version is still in place.
    pub(super) async fn write(
        &self,
        epoch: LeaderEpoch,
        phase: LeadPhase,
        orders: Vec<MemberOrder>,
        history: LeadHistory,
        expected: Option<&ObjectVersion>,
    ) -> Result<WrittenRecord, ChangeError> {
        let mark = uuid::Uuid::new_v4().simple().to_string();
        let stored = StoredRecord::new(LeadRecord { epoch, mark, phase, orders }, history);
        let spec = serde_json::to_value(&stored)
            .map_err(|error| ChangeError::Store(StoreError::Refused(error.to_string())))?;
        let StoredRecord { record, history } = stored;
        let sent_at = boot_time();
        let version = self.write_until_known(&record, &spec, expected).await?;
        self.engine.observe_record(self.group.service(), &record, sent_at);
        if expected.is_some() {
            notify_subscribers(self.engine, self.exchange).await;
        }
        Ok(WrittenRecord { record, history, version, sent_at, acknowledged_at: boot_time() })
    }

    /// Retries a write until it is known to have taken effect, or to be unable to.
    ///
    /// Without retries, a lost store call or response would restart the whole change and stop all
    /// instances again. Repeating is safe: the condition lets the write take effect only once, even
    /// if an earlier attempt arrives late.
    async fn write_until_known(
        &self,
        record: &LeadRecord,
        spec: &serde_json::Value,
        expected: Option<&ObjectVersion>,
    ) -> Result<ObjectVersion, ChangeError> {
        let store = &self.engine.dependencies().store;
        let name = self.group.service().as_str();
        for _ in 0..WRITE_ATTEMPTS {
            let put = store.put(ObjectKind::PrimaryRecord, name, expected, spec.clone());
            match with_timeout(WRITE_TIMEOUT, put).await {
                Ok(object) => return Ok(object.version),
                Err(StoreError::Conflict | StoreError::OutcomeUnknown) => {}
                Err(error) => return Err(error.into()),
            }
            if let Some(version) = self.find_own_write(record, expected).await? {
                return Ok(version);
            }
            log::info!(
                service:% = self.group.service(), epoch:% = record.epoch;
                "a write of a record got no response and has not taken effect yet"
            );
        }
        Err(ChangeError::Store(StoreError::OutcomeUnknown))
    }

    /// Returns the version that a write of this instance created; none if it has not taken effect
    /// but still may.
    async fn find_own_write(
        &self,
        record: &LeadRecord,
        expected: Option<&ObjectVersion>,
    ) -> Result<Option<ObjectVersion>, ChangeError> {
        let store = &self.engine.dependencies().store;
        let get = store.get(ObjectKind::PrimaryRecord, self.group.service().as_str());
        let found = with_timeout(CALL_TIMEOUT, get).await?;
        let own = |object: &StoredObject| {
            read_record(self.engine, object).is_some_and(|(_, found)| found.mark == record.mark)
        };
        match found {
            Some(object) if own(&object) => Ok(Some(object.version)),
            found if found.as_ref().map(|object| &object.version) == expected => Ok(None),
            _ => Err(ChangeError::Superseded),
        }
    }
}
