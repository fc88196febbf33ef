//! Selection by rank: keepers of groups and holders of connections.

use super::ranking::{candidates, choose, name_hash};
use crate::member::PeerEntry;
use rudder_core::{DomainName, InstanceName, ServiceName};

/// Number of keepers per group: of three observers, two still agree when one is wrong.
pub const KEEPER_COUNT: usize = 3;

/// Returns the keepers of a group, the instances that monitor it, in rank order; the first acts
/// first. They are in different failure domains as far as there are enough.
///
/// `peers` is the instance list of the mesh; leaving instances are not selected.
///
/// ```
/// use rudder_peers::{Incarnation, PeerEntry, PeerState, keepers_of};
/// let peer = |name: &str, domain: &str| PeerEntry {
///     name: name.parse().expect("a name"),
///     address: ([127, 0, 0, 1], 7000).into(),
///     domain: domain.parse().expect("a name"),
///     incarnation: Incarnation(1),
///     state: PeerState::Live,
/// };
/// let peers = [peer("i1", "bangor"), peer("i2", "bangor"), peer("i3", "caerdydd")];
/// let keepers = keepers_of(&"scores-db".parse()?, &peers, 2);
/// assert!(keepers.contains(&"i3".parse()?));
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn keepers_of(service: &ServiceName, peers: &[PeerEntry], count: usize) -> Vec<InstanceName> {
    let chosen = choose(name_hash(service.as_str()), &candidates(peers), count);
    chosen.into_iter().map(|index| peers[index].name.clone()).collect()
}

/// Returns the instances that hold connections to the members of a group, in rank order. They
/// alternate between failure domains, so that most callers have a holder in their own.
///
/// The first holders are the keepers of the group: the statements that they forward also show them
/// the state of its members.
///
/// ```
/// let holders = rudder_peers::holders_of(&"scores-db".parse()?, &[], 7);
/// assert!(holders.is_empty());
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn holders_of(service: &ServiceName, peers: &[PeerEntry], count: usize) -> Vec<InstanceName> {
    keepers_of(service, peers, count)
}

/// Returns the holders in the order in which an instance of `domain` should try to forward to them:
/// those of its own failure domain first.
///
/// ```
/// let order = rudder_peers::forwarding_order(&"bangor".parse()?, &[], &[]);
/// assert!(order.is_empty());
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[must_use]
pub fn forwarding_order(
    domain: &DomainName,
    holders: &[InstanceName],
    peers: &[PeerEntry],
) -> Vec<InstanceName> {
    let is_near = |name: &InstanceName| {
        let found = peers.binary_search_by(|peer| peer.name.cmp(name));
        found.is_ok_and(|index| peers[index].domain == *domain)
    };
    let (near, far): (Vec<InstanceName>, Vec<InstanceName>) =
        holders.iter().cloned().partition(is_near);
    near.into_iter().chain(far).collect()
}

/// Groups for which one instance is a keeper, computed for all groups at once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyMap {
    duties: Vec<(ServiceName, usize)>,
}

impl DutyMap {
    /// Computes for which of `services` the instance is a keeper; `services` is sorted.
    ///
    /// ```
    /// use rudder_peers::DutyMap;
    /// let map = DutyMap::new(&"i1".parse()?, &[], &[], 3);
    /// assert_eq!(map.rank(&"scores-db".parse()?), None);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn new(
        instance: &InstanceName,
        services: &[ServiceName],
        peers: &[PeerEntry],
        count: usize,
    ) -> Self {
        let candidates = candidates(peers);
        let rank_in = |service: &ServiceName| {
            let chosen = choose(name_hash(service.as_str()), &candidates, count);
            chosen.into_iter().position(|index| peers[index].name == *instance)
        };
        let duties = services
            .iter()
            .filter_map(|service| rank_in(service).map(|rank| (service.clone(), rank)))
            .collect();
        Self { duties }
    }

    /// Returns the groups for which the instance is a keeper and its rank in each, from zero,
    /// sorted by group.
    ///
    /// ```
    /// assert!(rudder_peers::DutyMap::default().duties().is_empty());
    /// ```
    #[must_use]
    pub fn duties(&self) -> &[(ServiceName, usize)] {
        &self.duties
    }

    /// Returns the rank of the instance among the keepers of a group, from zero; none if it is not
    /// a keeper.
    ///
    /// ```
    /// assert_eq!(rudder_peers::DutyMap::default().rank(&"scores-db".parse()?), None);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn rank(&self, service: &ServiceName) -> Option<usize> {
        let index = self.duties.binary_search_by(|duty| duty.0.cmp(service)).ok()?;
        Some(self.duties[index].1)
    }
}
