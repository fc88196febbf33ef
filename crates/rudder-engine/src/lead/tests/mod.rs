//! Tests of leases, changes of primary and position histories.

mod commit_evidence;
mod history;
mod lease_table;
mod message;
mod model;
mod schedules;
mod stored_record;
mod suspicion;

use super::{LeadPhase, LeadRecord, LeaderEpoch, MemberOrder};
use rudder_core::{LogStamp, LogTerm, MemberName};
use std::time::Duration;

pub(super) fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(super) fn member(name: &str) -> MemberName {
    name.parse().expect("a name")
}

pub(super) fn settled(epoch: u64, primary: &str, term: u64, base: Option<LogStamp>) -> LeadRecord {
    let phase = LeadPhase::Settled { primary: member(primary), term: LogTerm(term), base };
    LeadRecord { epoch: LeaderEpoch(epoch), mark: format!("m{epoch}"), phase, orders: Vec::new() }
}

pub(super) fn changing(epoch: u64, holder: &str, previous: &str) -> LeadRecord {
    ordering(epoch, holder, Some(member(previous)), Vec::new())
}

/// Returns the record of a change in progress with orders that may have been sent.
pub(super) fn ordering(
    epoch: u64,
    holder: &str,
    previous: Option<MemberName>,
    orders: Vec<MemberOrder>,
) -> LeadRecord {
    let phase = LeadPhase::Changing {
        holder: holder.parse().expect("a name"),
        process: epoch,
        previous,
        planned: false,
    };
    LeadRecord { epoch: LeaderEpoch(epoch), mark: format!("m{epoch}"), phase, orders }
}
