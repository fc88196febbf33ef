//! Rendezvous hashing that spreads the selected instances over failure domains.

use crate::member::PeerEntry;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hashes a name. The hash is computed once per name and not once per pair of names.
pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// An instance that may be selected.
#[derive(Clone, Debug)]
pub(crate) struct RankedPeer {
    /// Index in the list of instances.
    pub(crate) index: usize,
    hash: u64,
    domain: usize,
}

/// Returns the instances that may be assigned duties, prepared for repeated selection.
pub(crate) fn candidates(peers: &[PeerEntry]) -> Vec<RankedPeer> {
    let mut domains: Vec<&str> = peers.iter().map(|peer| peer.domain.as_str()).collect();
    domains.sort_unstable();
    domains.dedup();
    peers
        .iter()
        .enumerate()
        .filter(|(_, peer)| peer.takes_duties())
        .map(|(index, peer)| RankedPeer {
            index,
            hash: name_hash(peer.name.as_str()),
            domain: domains.partition_point(|domain| *domain < peer.domain.as_str()),
        })
        .collect()
}

/// Selects `count` instances for the key and returns their indices in rank order.
///
/// The instances of each domain are ordered by weight. The overall order is by position within the
/// domain, and by weight among equal positions. The selection therefore alternates between domains,
/// and when an instance joins or leaves, only positions within its own domain shift by one.
pub(crate) fn choose(key_hash: u64, candidates: &[RankedPeer], count: usize) -> Vec<usize> {
    if count == 0 {
        return Vec::new();
    }
    let mut kept: Vec<Vec<(u64, usize)>> = Vec::new();
    for peer in candidates {
        if kept.len() <= peer.domain {
            kept.resize_with(peer.domain + 1, Vec::new);
        }
        let weight = xxh3_64_with_seed(&peer.hash.to_le_bytes(), key_hash);
        insert_by_weight(&mut kept[peer.domain], (weight, peer.index), count);
    }
    let mut chosen: Vec<(usize, u64, usize)> = Vec::new();
    for domain in kept {
        let places = domain.into_iter().enumerate();
        chosen.extend(places.map(|(place, (weight, index))| (place, weight, index)));
    }
    chosen.sort_unstable_by(|a, b| (a.0, b.1, a.2).cmp(&(b.0, a.1, b.2)));
    chosen.into_iter().take(count).map(|(_, _, index)| index).collect()
}

/// Inserts a peer into the list of the `count` highest weights, which is sorted in descending
/// order.
fn insert_by_weight(kept: &mut Vec<(u64, usize)>, peer: (u64, usize), count: usize) {
    if kept.len() == count && kept.last().is_some_and(|last| last.0 >= peer.0) {
        return;
    }
    let place = kept.partition_point(|other| other.0 >= peer.0);
    kept.insert(place, peer);
    kept.truncate(count);
}
