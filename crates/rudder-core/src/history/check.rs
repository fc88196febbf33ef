//! The consistency rules that a run must satisfy.

use super::record::{HistoryLog, ReadRecord, StoredValue, WriteOutcome, WriteRecord};
use crate::ident::RequestKey;
use crate::outcome::OutcomeClass;
use crate::session::SessionId;
use displaydoc::Display;

/// A violated consistency rule.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum HistoryFault {
    /// acknowledged value {0} is missing at the end
    Lost(u64),
    /// value {0} is stored {1} times at the end
    Repeated(u64, usize),
    /// value {0} is stored although its caller was informed that it did not run or failed
    Forbidden(u64),
    /// value {0} is stored although no caller wrote it to that row
    Unwritten(u64),
    /// key {0} took effect {1} times
    KeyRepeated(RequestKey, usize),
    /// session {0} did not see its own acknowledged value {1}
    OwnWriteUnseen(SessionId, u64),
    /// session {0} did not see value {1}, acknowledged longer ago than its bound
    ReadTooOld(SessionId, u64),
    /// session {0} saw value {1}, which did not run or was never written to that row
    ReadForbidden(SessionId, u64),
}

impl std::error::Error for HistoryFault {}

/// Returns every rule violation of a run; an empty list means that the run is consistent.
///
/// ```
/// use rudder_core::{HistoryLog, check_history};
/// assert!(check_history(&HistoryLog::default()).is_empty());
/// ```
#[must_use]
pub fn check_history(log: &HistoryLog) -> Vec<HistoryFault> {
    let mut stored = log.stored.clone();
    stored.sort_unstable();
    let mut writes: Vec<_> = log.writes.iter().collect();
    writes.sort_by(|left, right| left.stored.cmp(&right.stored));
    let mut faults = Vec::new();
    for write in &writes {
        faults.extend(check_write(write, &stored));
    }
    faults.extend(check_unwritten(&stored, &writes));
    faults.extend(check_keys(&writes, &stored));
    for read in &log.reads {
        faults.extend(check_read(read, &writes));
    }
    faults
}

fn check_write(write: &WriteRecord, stored: &[StoredValue]) -> Option<HistoryFault> {
    let value = write.stored.value;
    match (write.outcome, count_of(&write.stored, stored)) {
        (WriteOutcome::Acknowledged, 0) => Some(HistoryFault::Lost(value)),
        (_, 0) => None,
        (WriteOutcome::Refused(OutcomeClass::NotRun | OutcomeClass::Failed), _) => {
            Some(HistoryFault::Forbidden(value))
        }
        (_, 1) => None,
        (_, count) => Some(HistoryFault::Repeated(value, count)),
    }
}

fn check_unwritten(stored: &[StoredValue], writes: &[&WriteRecord]) -> Vec<HistoryFault> {
    let unwritten = stored.iter().filter(|stored| find_write(stored, writes).is_none());
    unwritten.map(|stored| HistoryFault::Unwritten(stored.value)).collect()
}

fn check_keys(writes: &[&WriteRecord], stored: &[StoredValue]) -> Vec<HistoryFault> {
    let effects =
        |write: &&WriteRecord| Some((write.key.clone()?, count_of(&write.stored, stored)));
    let mut keyed: Vec<_> = writes.iter().filter_map(effects).collect();
    keyed.sort_unstable();
    let mut faults = Vec::new();
    for chunk in keyed.chunk_by(|left, right| left.0 == right.0) {
        let count = chunk.iter().map(|(_, count)| count).sum();
        if count > 1 {
            faults.push(HistoryFault::KeyRepeated(chunk[0].0.clone(), count));
        }
    }
    faults
}

fn check_read(read: &ReadRecord, writes: &[&WriteRecord]) -> Vec<HistoryFault> {
    let mut values = read.values.clone();
    values.sort_unstable();
    let is_seen = |value: u64| values.binary_search(&value).is_ok();
    let mut faults = Vec::new();
    for write in writes_to(&read.row, writes) {
        let value = write.stored.value;
        if is_seen(value) || write.outcome != WriteOutcome::Acknowledged {
            continue;
        }
        if write.session == read.session && write.returned <= read.invoked {
            faults.push(HistoryFault::OwnWriteUnseen(read.session.clone(), value));
        }
        if write.returned + read.bound <= read.invoked {
            faults.push(HistoryFault::ReadTooOld(read.session.clone(), value));
        }
    }
    for value in values {
        let stored = StoredValue { row: read.row.clone(), value };
        if !may_be_seen(find_write(&stored, writes)) {
            faults.push(HistoryFault::ReadForbidden(read.session.clone(), value));
        }
    }
    faults
}

fn may_be_seen(write: Option<&WriteRecord>) -> bool {
    let outcome = write.map(|write| write.outcome);
    matches!(
        outcome,
        Some(WriteOutcome::Acknowledged | WriteOutcome::Refused(OutcomeClass::Unknown))
    )
}

fn writes_to<'a>(row: &str, writes: &'a [&'a WriteRecord]) -> &'a [&'a WriteRecord] {
    let start = writes.partition_point(|write| write.stored.row.as_str() < row);
    let end = writes.partition_point(|write| write.stored.row.as_str() <= row);
    &writes[start..end]
}

fn find_write<'a>(stored: &StoredValue, writes: &[&'a WriteRecord]) -> Option<&'a WriteRecord> {
    let index = writes.binary_search_by(|write| write.stored.cmp(stored)).ok()?;
    Some(writes[index])
}

fn count_of(wanted: &StoredValue, stored: &[StoredValue]) -> usize {
    let start = stored.partition_point(|known| known < wanted);
    let end = stored.partition_point(|known| known <= wanted);
    end - start
}
