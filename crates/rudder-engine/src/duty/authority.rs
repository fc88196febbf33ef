//! Keeps the counting authority of the operation limits (`rudder_decisions::AuthorityKeeper`) in the
//! store.

use super::answers::{notify_subscribers, request_records};
use super::registry::with_timeout;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::peers::PeerExchange;
use rudder_core::InstanceName;
use rudder_decisions::{AuthorityAction, AuthorityRecord, AuthorityTerm, WriteOutcome};
use rudder_store::{ObjectKind, ObjectVersion, StoreError, StoredObject};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Name of the object.
const AUTHORITY_OBJECT: &str = "authority";

/// Interval between checks whether a call is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of one call: a renewal that gets no response has to leave time for a poll within the
/// contact timeout.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Object in the store.
#[derive(Debug, Serialize, Deserialize)]
struct AuthoritySpec {
    holder: InstanceName,
    process: u64,
    sequence: u64,
    renewal: u64,
}

impl From<AuthorityRecord> for AuthoritySpec {
    fn from(record: AuthorityRecord) -> Self {
        let AuthorityRecord { term: AuthorityTerm { sequence, holder, process }, renewal } = record;
        Self { holder, process, sequence, renewal }
    }
}

impl From<AuthoritySpec> for AuthorityRecord {
    fn from(spec: AuthoritySpec) -> Self {
        let AuthoritySpec { holder, process, sequence, renewal } = spec;
        Self { term: AuthorityTerm { sequence, holder, process }, renewal }
    }
}

/// Takes the counting authority over if this instance is the fleet reader, and holds it from then on
/// while an account is limited.
pub(crate) async fn keep(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    let mut version = None;
    loop {
        keep_once(&engine, &exchange, &mut version).await;
        engine.report_authority_age();
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Makes the next call, if one is due. `version` is that of the object as last read or written.
pub(super) async fn keep_once(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    version: &mut Option<ObjectVersion>,
) {
    let is_confirmed = match engine.next_authority_action() {
        None | Some(AuthorityAction::Wait) => false,
        Some(AuthorityAction::Poll) => {
            let receivers = engine.membership().addresses();
            request_records(engine, exchange, &receivers, false).await;
            false
        }
        Some(AuthorityAction::Read) => {
            if let Some(holder) = engine.authority_holder() {
                request_records(engine, exchange, &[holder], true).await;
            }
            let read = read_object(engine).await;
            if let Ok(object) = &read {
                *version = object.as_ref().map(|(_, version)| version.clone());
            }
            engine.record_authority_read(read.map(|object| object.map(|(record, _)| record)))
        }
        Some(AuthorityAction::Write(record)) => write_object(engine, version, record).await,
    };
    if is_confirmed {
        // The next read of the records may come too late for the contact timeout.
        notify_subscribers(engine, exchange).await;
    }
}

async fn read_object(
    engine: &ProxyEngine,
) -> Result<Option<(AuthorityRecord, ObjectVersion)>, StoreError> {
    let get = engine.dependencies().store.get(ObjectKind::LimitAuthority, AUTHORITY_OBJECT);
    with_timeout(CALL_TIMEOUT, get).await?.map(parse_object).transpose()
}

fn parse_object(object: StoredObject) -> Result<(AuthorityRecord, ObjectVersion), StoreError> {
    let spec = serde_json::from_value::<AuthoritySpec>(object.spec)
        .map_err(|error| StoreError::Refused(error.to_string()))?;
    Ok((spec.into(), object.version))
}

/// Writes the object on condition that it still has `version`. Returns whether that confirms the
/// authority for a later time.
async fn write_object(
    engine: &ProxyEngine,
    version: &mut Option<ObjectVersion>,
    record: AuthorityRecord,
) -> bool {
    let spec = match serde_json::to_value(AuthoritySpec::from(record.clone())) {
        Ok(spec) => spec,
        Err(error) => {
            log::error!(reason:% = error; "the counting authority could not be serialized");
            return false;
        }
    };
    let sent_at = boot_time();
    let store = &engine.dependencies().store;
    let put = store.put(ObjectKind::LimitAuthority, AUTHORITY_OBJECT, version.as_ref(), spec);
    let outcome = match with_timeout(CALL_TIMEOUT, put).await {
        Ok(written) => {
            *version = Some(written.version);
            WriteOutcome::Written
        }
        Err(error) => {
            log::info!(
                sequence = record.term.sequence, reason:% = error;
                "the counting authority was not written"
            );
            match error {
                StoreError::Conflict => WriteOutcome::Rejected,
                StoreError::Unavailable | StoreError::Refused(_) => WriteOutcome::NotExecuted,
                StoreError::OutcomeUnknown => WriteOutcome::Unknown,
            }
        }
    };
    engine.record_authority_write(&record, outcome, sent_at)
}
