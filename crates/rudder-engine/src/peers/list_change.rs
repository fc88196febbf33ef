//! Lists that instances copy from each other incrementally.
//!
//! Load pattern: while a fleet starts, each of its instances changes the instance list, and each
//! change reaches all others. If every copy held the whole list, the bytes would grow with the cube
//! of the fleet size, and fill links and processors for longer than the start itself takes.

use crate::group::MemberEntry;
use crate::peers::PeerEntry;
use rudder_core::{InstanceName, MemberName};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Number of earlier lists that are kept. An instance that lags further behind receives the whole
/// list.
const HISTORY_MAX: usize = 32;

/// Maximum number of items in all kept lists together, beyond the newest one and the one before.
/// An item takes about 200 bytes.
const HISTORY_ITEMS_MAX: usize = 20_000;

/// Item of a list that is sorted by the item's key.
pub(crate) trait ListItem: Clone + PartialEq + Serialize {
    type Key: Ord + Clone;

    fn key(&self) -> &Self::Key;
}

impl ListItem for PeerEntry {
    type Key = InstanceName;

    fn key(&self) -> &InstanceName {
        &self.instance
    }
}

impl ListItem for MemberEntry {
    type Key = MemberName;

    fn key(&self) -> &MemberName {
        &self.target.member
    }
}

/// Digest that is equal if two instances know the same list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ListDigest(u64);

impl Default for ListDigest {
    fn default() -> Self {
        Self::of::<()>(&[])
    }
}

impl ListDigest {
    /// Returns the digest of a sorted list.
    pub(crate) fn of<T: Serialize>(items: &[T]) -> Self {
        match postcard::to_stdvec(items) {
            Ok(bytes) => Self(xxhash_rust::xxh3::xxh3_64(&bytes)),
            Err(error) => {
                log::error!(reason:% = error; "a list could not be serialized");
                Self(0)
            }
        }
    }
}

/// List as it is sent: whole, or as the difference from one that the receiver knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CopiedList<T, K> {
    Whole(Vec<T>),
    Change {
        /// List to which the change applies.
        base: ListDigest,
        /// New items and items that differ.
        put: Vec<T>,
        removed: Vec<K>,
    },
}

impl<T: ListItem> CopiedList<T, T::Key> {
    /// Returns the list, if this is a whole one or a change of `known`.
    pub(crate) fn resolve(self, known: &[T]) -> Option<Vec<T>> {
        let (base, put, removed) = match self {
            Self::Whole(items) => return Some(items),
            Self::Change { base, put, removed } => (base, put, removed),
        };
        if base != ListDigest::of(known) {
            log::info!("discarded a peer's list change: it does not apply to the list known here");
            return None;
        }
        let mut items = known.to_vec();
        items.retain(|item| !removed.contains(item.key()));
        for item in put {
            match items.binary_search_by(|known| known.key().cmp(item.key())) {
                Ok(index) => items[index] = item,
                Err(index) => items.insert(index, item),
            }
        }
        Some(items)
    }
}

/// Recent versions of a list, the newest last.
#[derive(Clone, Debug)]
pub(crate) struct ListHistory<T> {
    lists: VecDeque<(ListDigest, Vec<T>)>,
}

impl<T> Default for ListHistory<T> {
    fn default() -> Self {
        Self { lists: VecDeque::new() }
    }
}

impl<T: ListItem> ListHistory<T> {
    /// Records the current list.
    pub(crate) fn record(&mut self, items: &[T]) {
        let digest = ListDigest::of(items);
        if digest == self.digest() {
            // The digest does not cover the capacities of instances, which may have changed.
            if let Some((_, newest)) = self.lists.back_mut().filter(|(_, newest)| newest != items) {
                items.clone_into(newest);
            }
            return;
        }
        self.lists.retain(|(known, _)| *known != digest);
        self.lists.push_back((digest, items.to_vec()));
        let mut kept: usize = self.lists.iter().map(|(_, items)| items.len()).sum();
        while self.lists.len() > HISTORY_MAX || (self.lists.len() > 2 && kept > HISTORY_ITEMS_MAX) {
            kept -= self.lists.pop_front().map_or(0, |(_, items)| items.len());
        }
    }

    /// Returns the digest of the newest list.
    pub(crate) fn digest(&self) -> ListDigest {
        self.lists.back().map_or_else(ListDigest::default, |(digest, _)| *digest)
    }

    /// Returns the newest list for an instance that knows the list of `base`.
    pub(crate) fn copy_for(&self, base: ListDigest) -> CopiedList<T, T::Key> {
        let Some((_, newest)) = self.lists.back() else { return CopiedList::Whole(Vec::new()) };
        let found = self.lists.iter().find(|(digest, _)| *digest == base);
        let Some((_, known)) = found else { return CopiedList::Whole(newest.clone()) };
        let differs = |item: &&T| {
            let found = known.binary_search_by(|other| other.key().cmp(item.key()));
            !found.is_ok_and(|index| known[index] == **item)
        };
        let is_removed =
            |item: &&T| newest.binary_search_by(|other| other.key().cmp(item.key())).is_err();
        let put: Vec<T> = newest.iter().filter(differs).cloned().collect();
        let removed = known.iter().filter(is_removed).map(|item| item.key().clone()).collect();
        CopiedList::Change { base, put, removed }
    }
}
