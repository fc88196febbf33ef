//! Freshness samples: points in time at which the confirmed primary's log is known to have ended at
//! a stamp.

use crate::ack::majority_of;
use crate::ident::MemberName;
use crate::plain_data;
use crate::stamp::LogStamp;
use crate::status::{MemberRole, MemberStatus};
use std::time::Duration;

plain_data! {
    /// One member's status, with the time at which it was requested.
    pub struct TimedReport {
        /// The member.
        pub member: MemberName,
        /// Time at which the request was sent, on the requester's clock.
        pub requested_at: Duration,
        /// The status that the member returned.
        pub status: MemberStatus,
    }
}

plain_data! {
    /// Every write that was acknowledged before `sent_at` is contained in a log that reaches `stamp`.
    #[derive(Copy)]
    pub struct FreshSample {
        /// Time at which the earliest of the confirming requests was sent.
        pub sent_at: Duration,
        /// The end of the confirmed primary's log.
        pub stamp: LogStamp,
    }
}

/// Creates a sample from the reports of a group of `members` members, if they confirm the primary.
///
/// They confirm it if the primary and enough other members for a majority report the same greatest
/// term. The sample's time is that of the earliest request among the majority whose requests were
/// sent last, or of the request to the primary if that is earlier.
///
/// ```
/// assert_eq!(rudder_core::confirm_sample(3, &[]), None);
/// ```
#[must_use]
pub fn confirm_sample(members: usize, reports: &[TimedReport]) -> Option<FreshSample> {
    let term = reports.iter().map(|report| report.status.accepted).max()?;
    let at_term = |report: &&TimedReport| report.status.accepted == term;
    let is_primary = |report: &&TimedReport| report.status.role == MemberRole::Primary;
    let primary = reports.iter().filter(at_term).find(is_primary)?;
    let mut request_times: Vec<_> =
        reports.iter().filter(at_term).map(|report| report.requested_at).collect();
    request_times.sort_unstable_by(|left, right| right.cmp(left));
    // Without a majority, the log of an isolated primary would be taken for the newest. At
    // `sent_at`, a majority had accepted no greater term, so no successor had acknowledged
    // anything by then.
    let majority_requested_at = *request_times.get(majority_of(members) - 1)?;
    let sent_at = majority_requested_at.min(primary.requested_at);
    // A primary that was just promoted or restarted may still be applying its log, but its
    // received log contains every acknowledged write.
    Some(FreshSample { sent_at, stamp: primary.status.received })
}
