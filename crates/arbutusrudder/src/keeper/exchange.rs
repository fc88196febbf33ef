//! Interface to the other instances that keep the same group.

use rudder_core::{DomainName, InstanceName, ObserverVote, ServiceName, VoteKind};

/// One instance that keeps a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeeperEntry {
    /// The instance.
    pub(crate) instance: InstanceName,
    /// The instance's failure domain.
    pub(crate) domain: DomainName,
}

/// The keepers of one group, by rank. The first promotes a new primary at once, each further one
/// after a delay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeeperRanking {
    /// The keepers, best rank first.
    pub(crate) keepers: Vec<KeeperEntry>,
}

impl KeeperRanking {
    /// Returns the rank of `instance`, counted from zero.
    pub(crate) fn rank_of(&self, instance: &InstanceName) -> Option<u32> {
        let index = self.keepers.iter().position(|keeper| keeper.instance == *instance)?;
        u32::try_from(index).ok()
    }

    /// Returns the number of failure domains that have a keeper.
    pub(crate) fn domain_count(&self) -> usize {
        let mut domains: Vec<_> = self.keepers.iter().map(|keeper| &keeper.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }

    /// Returns the keepers' names.
    pub(crate) fn names(&self) -> Vec<InstanceName> {
        self.keepers.iter().map(|keeper| keeper.instance.clone()).collect()
    }
}

/// Exchanges votes between the keepers of a group, and lists the keepers.
pub(crate) trait ObserverExchange: Send + Sync {
    /// Sends this instance's vote on the service's primary to the other keepers.
    fn send_vote(&self, service: &ServiceName, vote: VoteKind);

    /// Returns the other keepers' votes received since the last call. The keeper replaces their
    /// times by the time of the call.
    fn take_votes(&self, service: &ServiceName) -> Vec<ObserverVote>;

    /// Returns the group's current keepers.
    fn ranking(&self, service: &ServiceName) -> KeeperRanking;
}
