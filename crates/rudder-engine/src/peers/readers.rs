//! Which instances read the store and watch the primaries for all.
//!
//! Load pattern: a fleet asks the store whether its records have changed. Each call is paid for,
//! and the store's rate grows more slowly than the fleet. So the first instances of each failure
//! domain ask, and their neighbours ask them, without a word that leaves the domain. With six
//! instances in three domains that made 900 calls in 54 calm seconds, where each asking for itself
//! made 1,623 (counted by the store, one run each; longer watches of the others included).

use rudder_core::{DomainName, InstanceName};
use std::net::SocketAddr;

/// The fewest readers. With three, two that cannot reach a primary are more than half, and one cut
/// link is not.
const READERS_MIN: usize = 3;

/// An instance that may be a reader; the address is none for this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReaderCandidate {
    pub(crate) instance: InstanceName,
    pub(crate) domain: DomainName,
    pub(crate) address: Option<SocketAddr>,
}

/// The first of each domain by a hash of their names, [`READERS_MIN`] in all if there are as many.
///
/// `domains` is how many the deployment has. An instance that hears from none but its own domain
/// must not think that there is no other, and take itself for one of three readers there.
pub(crate) fn choose_readers(
    mut all: Vec<ReaderCandidate>,
    domains: usize,
) -> Vec<ReaderCandidate> {
    let rank =
        |entry: &ReaderCandidate| xxhash_rust::xxh3::xxh3_64(entry.instance.as_str().as_bytes());
    all.sort_by_key(|entry| (entry.domain.clone(), rank(entry)));
    let each = READERS_MIN.div_ceil(domains.max(1));
    let mut chosen: Vec<ReaderCandidate> = Vec::new();
    for entry in all {
        let count = chosen.iter().filter(|known| known.domain == entry.domain).count();
        if count < each {
            chosen.push(entry);
        }
    }
    chosen
}
