//! Which instances watch the primaries, and which one of them asks the store for all.
//!
//! Load pattern: a fleet asks the store whether its records have changed. Each call is paid for,
//! and the store's rate grows more slowly than the fleet. So one reader asks the store, the readers
//! of the other failure domains have its word from it, and their neighbours from them, with one
//! message a domain over the long links.

use rudder_core::{DomainName, InstanceName};
use std::net::SocketAddr;

/// The fewest readers. With three, two that cannot reach a primary are more than half, and one cut
/// link is not.
const READERS_MIN: usize = 3;

/// Instances of a failure domain that heartbeat to all of it. At least [`READERS_MIN`], as all of those
/// may stand in one domain; two of them may be lost at once before anybody has to look for more.
const DOMAIN_HUBS_MAX: usize = READERS_MIN;

/// An instance that may be a reader; the address is none for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReaderCandidate {
    pub(crate) instance: InstanceName,
    pub(crate) domain: DomainName,
    pub(crate) address: Option<SocketAddr>,
    /// Whether the store does not answer it.
    pub(crate) store_unreachable: bool,
}

fn rank(candidate: &ReaderCandidate) -> u64 {
    xxhash_rust::xxh3::xxh3_64(candidate.instance.as_str().as_bytes())
}

/// The reader that asks the store for all: one that the store answers, the first by a hash.
pub(crate) fn first_reader(readers: &[ReaderCandidate]) -> Option<&ReaderCandidate> {
    readers.iter().min_by_key(|reader| (reader.store_unreachable, rank(reader)))
}

/// The first few of a domain, who hear from all of it and tell all of it that they live. One of them
/// is its reader, and when that one is gone the next is known to all.
pub(crate) fn choose_domain_hubs(
    mut all: Vec<ReaderCandidate>,
    domain: &DomainName,
) -> Vec<ReaderCandidate> {
    all.retain(|candidate| candidate.domain == *domain);
    all.sort_by_cached_key(rank);
    all.truncate(DOMAIN_HUBS_MAX);
    all
}

/// The first of each domain by a hash of their names, [`READERS_MIN`] in all if there are as many.
///
/// `domains` is how many the deployment has. An instance that hears from none but its own domain
/// must not think that there is no other, and take itself for one of three readers there.
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
