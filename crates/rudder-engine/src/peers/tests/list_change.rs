//! Lists that are copied by their changes.

use crate::peers::list_change::{CopiedList, ListDigest, ListHistory};
use crate::peers::{PeerEntry, PeerMessage};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rudder_core::InstanceName;

fn entry(number: usize, port: u16) -> PeerEntry {
    PeerEntry {
        instance: format!("entry-{number:03}").parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        address: ([127, 0, 0, 1], port).into(),
        marked: false,
    }
}

fn list(numbers: std::ops::Range<usize>) -> Vec<PeerEntry> {
    numbers.map(|number| entry(number, 1)).collect()
}

fn bytes_of(copy: &CopiedList<PeerEntry, InstanceName>) -> usize {
    postcard::to_stdvec(copy).expect("it can be written").len()
}

/// Guards against copies that differ after items came, changed and went, in any order of fetches.
#[test]
fn a_follower_that_fetches_at_random_times_has_the_same_list() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut history = ListHistory::default();
        let mut newest = list(0..5);
        let mut known = Vec::new();
        for _ in 0..60 {
            let number = random.random_range(0..40);
            match newest.binary_search_by(|item| item.instance.cmp(&entry(number, 1).instance)) {
                Ok(index) if random.random_bool(0.5) => drop(newest.remove(index)),
                Ok(index) => newest[index] = entry(number, random.random_range(1..9)),
                Err(index) => newest.insert(index, entry(number, 1)),
            }
            history.record(&newest);
            if random.random_bool(0.2) {
                let copy = history.copy_for(ListDigest::of(&known));
                known = copy.resolve(&known).expect("a copy for this list");
                assert_eq!(known, newest, "seed {seed}");
            }
        }
    }
}

/// Guards against a change that is put on top of another list than it was made for.
#[test]
fn a_change_of_another_list_is_rejected() {
    let mut history = ListHistory::default();
    history.record(&list(0..5));
    history.record(&list(0..6));

    let copy = history.copy_for(ListDigest::of(&list(0..5)));

    assert!(copy.clone().resolve(&list(0..4)).is_none());
    assert_eq!(copy.resolve(&list(0..5)), Some(list(0..6)));
}

/// Guards against an instance that is far behind, or knows a list that never was, and gets nothing.
#[test]
fn an_unknown_base_list_gets_the_whole_list() {
    let mut history = ListHistory::default();
    for count in 1..100 {
        history.record(&list(0..count));
    }

    for known in [list(0..2), list(7..9), Vec::new()] {
        let copy = history.copy_for(ListDigest::of(&known));
        assert_eq!(copy.resolve(&known), Some(list(0..99)));
    }
}

/// Guards against a start whose copies grow with the square of the fleet: each is one change long.
#[test]
fn the_copy_of_one_change_does_not_grow_with_the_list() {
    let sizes = [10, 300].map(|count| {
        let mut history = ListHistory::default();
        history.record(&list(0..count));
        history.record(&list(0..count + 1));
        bytes_of(&history.copy_for(ListDigest::of(&list(0..count))))
    });

    assert!(sizes[1] <= sizes[0] + 4, "{sizes:?}");
}

#[test]
fn a_message_of_another_release_is_an_error() {
    assert!(postcard::from_bytes::<PeerMessage>(&[200, 1, 2, 3]).is_err());
}
