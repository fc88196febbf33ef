//! What members' log positions show of the commits that were acknowledged before a change.

use rudder_core::{LogStamp, MemberName, plain_data};

plain_data! {
    /// Replica that has left the membership, whose log may hold commits that no other replica has.
    pub(crate) struct DepartedReplica {
        pub(crate) member: MemberName,
        /// Position of the primary after the departure. The primary has acknowledged all commits
        /// since with the remaining replicas, so one that has received this position lacks nothing.
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
        /// Members that have left since the previous primary took over.
        pub(crate) departed: Vec<DepartedReplica>,
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
    /// lost its log in a restart.
    pub(crate) fn complete_position(
        &self,
        previous: Option<&MemberName>,
        reports: &[(MemberName, LogStamp)],
    ) -> Option<LogStamp> {
        let of_replicas = reports.iter().filter(|(member, _)| self.is_replica(member));
        let most_advanced = of_replicas.clone().map(|(_, received)| *received).max();
        let known = most_advanced.max(self.newest);
        let of_previous = reports.iter().find(|(member, _)| Some(member) == previous);
        if let Some((_, received)) = of_previous
            && Some(*received) >= known
        {
            return Some(*received);
        }
        let lacks = |departed: &&DepartedReplica| {
            departed.later_position.is_none_or(|position| most_advanced < Some(position))
        };
        let count = self.replicas.len() + self.departed.iter().filter(lacks).count();
        let required = (count + 1).saturating_sub(self.sync_replicas as usize).max(1);
        (of_replicas.count() >= required).then_some(most_advanced).flatten()
    }

    fn is_replica(&self, member: &MemberName) -> bool {
        self.replicas.binary_search(member).is_ok()
    }
}
