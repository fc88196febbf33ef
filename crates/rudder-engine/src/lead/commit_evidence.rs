//! What members' log positions show of the commits that were acknowledged before a change.

use rudder_core::{LogStamp, MemberName, plain_data};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

plain_data! {
    /// Process of a member that may have received commits before they were acknowledged.
    #[derive(PartialOrd, Ord, Serialize, Deserialize)]
    pub(crate) struct CommitHolder {
        pub(crate) member: MemberName,
        /// Start time in milliseconds since 1970. A restarted member keeps no log from before.
        pub(crate) started_at_ms: u64,
        pub(crate) address: SocketAddr,
    }
}

plain_data! {
    /// Replica that is not in the membership, whose log may hold commits that no other replica has.
    pub(crate) struct DepartedReplica {
        pub(crate) holder: CommitHolder,
        /// Whether the process may still run, so that a report of the member comes from it.
        pub(crate) may_run: bool,
        /// Position of the primary after the process had ended. The primary has acknowledged all
        /// commits since with other replicas, so one that has received this position lacks nothing
        /// that the process had.
        pub(crate) later_position: Option<LogStamp>,
    }
}

plain_data! {
    /// Copies that acknowledged commits of a service have, apart from that of the primary.
    pub(crate) struct CommitEvidence {
        /// Number of replicas that have received each acknowledged commit.
        pub(crate) sync_replicas: u32,
        /// Members other than the previous primary, sorted by name.
        pub(crate) replicas: Vec<MemberName>,
        /// Processes other than those of the previous primary that are no longer in the membership.
        pub(crate) departed: Vec<DepartedReplica>,
        /// Position that acknowledged commits have reached at least.
        pub(crate) acknowledged: Option<LogStamp>,
        /// End of the previous primary's log when it took over.
        pub(crate) base: Option<LogStamp>,
        /// Newest known position of the previous primary.
        pub(crate) newest: Option<LogStamp>,
    }
}

impl CommitEvidence {
    /// Returns a position such that each log which has received it holds all acknowledged commits;
    /// none if the reported positions do not show one. The service must have stopped: positions
    /// that were reported before do not cover later commits.
    ///
    /// Either the previous primary reports the end of its log, or so many replicas report theirs
    /// that at least one of them holds each commit. The previous primary does not count if it has
    /// lost its log in a restart. A replica that has left the membership counts as long as it may
    /// hold a commit that the others lack: it may only be cut from the store, and still receive
    /// commits. If no report reaches the known acknowledged commits, one of the replicas has lost its
    /// log, and the reports show nothing.
    pub(crate) fn complete_position(
        &self,
        previous: Option<&MemberName>,
        reports: &[(MemberName, LogStamp)],
    ) -> Option<LogStamp> {
        let of_replicas = reports.iter().filter(|(member, _)| self.may_report(member));
        let most_advanced = of_replicas.clone().map(|(_, received)| *received).max();
        let required_position = self.required_position();
        let known = most_advanced.max(self.newest).max(required_position);
        let of_previous = reports.iter().find(|(member, _)| Some(member) == previous);
        if let Some((_, received)) = of_previous
            && Some(*received) >= known
        {
            return Some(*received);
        }
        let has_reported = |departed: &DepartedReplica| {
            departed.may_run && reports.iter().any(|(name, _)| *name == departed.holder.member)
        };
        let lacks = |departed: &DepartedReplica| {
            departed.later_position.is_none_or(|position| most_advanced < Some(position))
        };
        let counts = |departed: &&DepartedReplica| has_reported(departed) || lacks(departed);
        if most_advanced < required_position {
            return None;
        }
        let count = self.replicas.len() + self.departed.iter().filter(counts).count();
        let required = (count + 1).saturating_sub(self.sync_replicas as usize).max(1);
        (of_replicas.count() >= required).then_some(most_advanced).flatten()
    }

    /// Returns a position that some replica has received unless it has lost its log.
    ///
    /// With one synchronous replica, that is at least what the previous primary took over: the
    /// primary before it has all of that, and is a replica since, or was released for another one
    /// that has received it. With several, some of it may have been with too few replicas.
    fn required_position(&self) -> Option<LogStamp> {
        self.acknowledged.max(self.base.filter(|_| self.sync_replicas == 1))
    }

    fn may_report(&self, member: &MemberName) -> bool {
        let may_run =
            |departed: &DepartedReplica| departed.may_run && departed.holder.member == *member;
        self.replicas.binary_search(member).is_ok() || self.departed.iter().any(may_run)
    }
}
