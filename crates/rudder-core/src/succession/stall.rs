//! Detection of replicas that have stopped replicating: their log is behind the primary's and does
//! not grow.

use crate::ident::MemberName;
use crate::plain_data;
use crate::stamp::LogStamp;
use crate::status::MemberStatus;
use std::time::Duration;

plain_data! {
    struct StallMark {
        member: MemberName,
        received: LogStamp,
        since: Duration,
    }
}

plain_data! {
    /// The time since when each member's log has not grown.
    #[derive(Default)]
    pub struct StallDetector {
        marks: Vec<StallMark>,
    }
}

impl StallDetector {
    /// Records a report and returns whether the member's log has been behind the primary's without
    /// growing for `bound`. The time then starts again, so that the caller repeats its repair once
    /// per `bound`.
    ///
    /// A restarted member does not replicate from any member, and its status shows this only by a
    /// log that does not grow.
    ///
    /// ```
    /// use rudder_core::{LogStamp, LogTerm, MemberRole, MemberStatus, StallDetector};
    /// use std::time::Duration;
    /// let received = LogStamp::new(1, 3);
    /// let role = MemberRole::Replica;
    /// let status = MemberStatus { role, accepted: LogTerm(1), received, applied: received };
    /// let (leader, bound) = (LogStamp::new(1, 9), Duration::from_secs(1));
    /// let mut detector = StallDetector::default();
    /// let member = "scores-2".parse()?;
    /// assert!(!detector.record(&member, status, leader, Duration::ZERO, bound));
    /// assert!(detector.record(&member, status, leader, bound, bound));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn record(
        &mut self,
        member: &MemberName,
        status: MemberStatus,
        leader: LogStamp,
        now: Duration,
        bound: Duration,
    ) -> bool {
        let received = status.received;
        let new_mark = StallMark { member: member.clone(), received, since: now };
        let mark = match self.marks.binary_search_by(|mark| mark.member.cmp(member)) {
            Ok(index) => &mut self.marks[index],
            Err(index) => {
                self.marks.insert(index, new_mark);
                return false;
            }
        };
        let is_stalled = mark.received == received && received < leader;
        if is_stalled && now < mark.since + bound {
            return false;
        }
        *mark = new_mark;
        is_stalled
    }
}
