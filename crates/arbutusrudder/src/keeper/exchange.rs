//! The border towards the other instances that observe the same group.

use rudder_core::{DomainName, InstanceName, ObserverVote, ServiceName, VoteKind};

/// One instance that keeps a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KeeperEntry {
    /// The instance.
    pub(crate) instance: InstanceName,
    /// The failure domain that it stands in.
    pub(crate) domain: DomainName,
}

/// The keepers of one group, by rank: the first acts at once, each next one after a delay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeeperRanking {
    /// The keepers, best rank first.
    pub(crate) keepers: Vec<KeeperEntry>,
}

impl KeeperRanking {
    /// The rank of `instance`, counted from zero.
    pub(crate) fn rank_of(&self, instance: &InstanceName) -> Option<u32> {
        let index = self.keepers.iter().position(|keeper| keeper.instance == *instance)?;
        u32::try_from(index).ok()
    }

    /// How many failure domains have a keeper.
    pub(crate) fn domain_count(&self) -> usize {
        let mut domains: Vec<_> = self.keepers.iter().map(|keeper| &keeper.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }

    /// The keepers' names.
    pub(crate) fn names(&self) -> Vec<InstanceName> {
        self.keepers.iter().map(|keeper| keeper.instance.clone()).collect()
    }
}

/// Carries votes between the observers of a group, and tells who they are.
pub(crate) trait ObserverExchange: Send + Sync {
    /// Tells the other observers this instance's vote over the service's primary.
    fn send_vote(&self, service: &ServiceName, vote: VoteKind);

    /// The votes of other observers that arrived since the last call. Their times do not matter;
    /// the keeper dates them itself.
    fn take_votes(&self, service: &ServiceName) -> Vec<ObserverVote>;

    /// The group's keepers at present.
    fn ranking(&self, service: &ServiceName) -> KeeperRanking;
}
