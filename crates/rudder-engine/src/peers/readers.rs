//! Choice of the readers: the instances that probe the primaries, one of which polls the store for
//! the whole fleet.
//!
//! Load pattern: a fleet polls the store for changes of its records. Each call is paid for, and the
//! store's rate grows more slowly than the fleet. Therefore one reader polls the store, the readers
//! of the other failure domains receive the state from it, and the other instances from the reader
//! of their domain, with one message per domain over the long links.

use rudder_core::{DomainName, InstanceName};
use rudder_decisions::InstanceCapacity;
use std::cmp::Reverse;
use std::net::SocketAddr;

/// Minimum number of readers. With three, two that cannot reach a primary are more than half, and
/// one with a cut link is not.
const READERS_MIN: usize = 3;

/// Maximum number of hubs: instances of a failure domain that exchange heartbeats with all of it.
/// At least [`READERS_MIN`], as all readers may be in one domain. Two of them may fail at once
/// before other instances have to be found.
const DOMAIN_HUBS_MAX: usize = READERS_MIN;

/// Instance that may be a reader; the address is `None` for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReaderCandidate {
    pub(crate) instance: InstanceName,
    pub(crate) domain: DomainName,
    pub(crate) address: Option<SocketAddr>,
    /// Whether the store does not respond to it.
    pub(crate) store_unreachable: bool,
    /// Capacity that the instance list states for it.
    pub(crate) capacity: InstanceCapacity,
}

/// Order among the candidates. A reader's work grows with its domain and with the number of
/// services, so instances on larger machines come first, and equal ones by a hash.
fn rank(candidate: &ReaderCandidate) -> (Reverse<InstanceCapacity>, u64) {
    let hash = xxhash_rust::xxh3::xxh3_64(candidate.instance.as_str().as_bytes());
    (Reverse(candidate.capacity), hash)
}

/// Returns the reader that polls the store for the whole fleet: the first in rank among those that
/// the store responds to, or among all if it responds to none.
pub(crate) fn fleet_reader(readers: &[ReaderCandidate]) -> Option<&ReaderCandidate> {
    readers.iter().min_by_key(|reader| (reader.store_unreachable, rank(reader)))
}

/// Returns the hubs of a domain, which exchange heartbeats with all of it. One of them is the
/// domain's reader, and if that one fails, the next one is known to all.
pub(crate) fn choose_domain_hubs(
    mut all: Vec<ReaderCandidate>,
    domain: &DomainName,
) -> Vec<ReaderCandidate> {
    all.retain(|candidate| candidate.domain == *domain);
    all.sort_by_cached_key(rank);
    all.truncate(DOMAIN_HUBS_MAX);
    all
}

/// Returns the first instances of each domain in rank, [`READERS_MIN`] in all if there are as many.
///
/// `domains` is the number of domains of the deployment. An instance that receives heartbeats only
/// from its own domain must not conclude that there is no other, and consider itself one of three
/// readers there.
pub(crate) fn choose_readers(
    mut all: Vec<ReaderCandidate>,
    domains: usize,
) -> Vec<ReaderCandidate> {
    all.sort_by_cached_key(|candidate| (candidate.domain.clone(), rank(candidate)));
    let each = READERS_MIN.div_ceil(domains.max(1));
    let mut chosen: Vec<ReaderCandidate> = Vec::new();
    for candidate in all {
        let count = chosen.iter().filter(|known| known.domain == candidate.domain).count();
        if count < each {
            chosen.push(candidate);
        }
    }
    chosen
}
