//! Incremental copies of lists.

use crate::peers::list_change::{CopiedList, ListDigest, ListHistory};
use crate::peers::{PeerEntry, PeerMessage};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rudder_core::InstanceName;
use rudder_decisions::InstanceCapacity;

fn entry(number: usize, port: u16) -> PeerEntry {
    PeerEntry {
        instance: format!("entry-{number:03}").parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        address: ([127, 0, 0, 1], port).into(),
        marked: false,
        capacity: None,
    }
}

fn list(numbers: std::ops::Range<usize>) -> Vec<PeerEntry> {
    numbers.map(|number| entry(number, 1)).collect()
}

fn bytes_of(copy: &CopiedList<PeerEntry, InstanceName>) -> usize {
    postcard::to_stdvec(copy).expect("it can be written").len()
}

/// Copies must not differ from the list after items were added, changed and removed, whenever they
/// are fetched.
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

/// A change must not be applied to another list than the one that it was made for.
#[test]
fn a_change_of_another_list_is_rejected() {
    let mut history = ListHistory::default();
    history.record(&list(0..5));
    history.record(&list(0..6));

    let copy = history.copy_for(ListDigest::of(&list(0..5)));

    assert!(copy.clone().resolve(&list(0..4)).is_none());
    assert_eq!(copy.resolve(&list(0..5)), Some(list(0..6)));
}

/// An instance that lags far behind, or has a list that never existed, must still receive the
/// newest list.
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

/// During a start, copies must not grow with the square of the fleet: each holds one change.
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

/// The digest does not cover capacities, but the copies that follow must carry the newest ones.
#[test]
fn a_change_of_a_capacity_is_part_of_later_copies() {
    let mut history = ListHistory::default();
    history.record(&list(0..3));
    let mut newest = list(0..3);
    newest[1].capacity = Some(InstanceCapacity(250));
    history.record(&newest);

    let whole = history.copy_for(ListDigest::of(&list(7..9)));
    assert_eq!(whole.resolve(&list(7..9)), Some(newest.clone()));
    newest.push(entry(3, 1));
    history.record(&newest);

    assert_eq!(history.copy_for(ListDigest::default()), CopiedList::Whole(newest));
}

#[test]
fn a_message_of_another_release_is_an_error() {
    assert!(postcard::from_bytes::<PeerMessage>(&[200, 1, 2, 3]).is_err());
}

/// Earlier versions of the entries of three thousand members must not fill a small machine.
#[test]
fn the_history_of_a_long_list_is_short() {
    let mut history = ListHistory::default();
    let lists: Vec<_> = (0..40).map(|number| list(0..5000 + number)).collect();

    lists.iter().for_each(|list| history.record(list));

    let is_change = |list: &Vec<PeerEntry>| {
        matches!(history.copy_for(ListDigest::of(list)), CopiedList::Change { .. })
    };
    assert_eq!(lists.iter().filter(|list| is_change(list)).count(), 3);
}
