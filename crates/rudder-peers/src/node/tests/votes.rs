//! Tests of votes on primaries, published to all instances or sent to some.

use super::fleet::Fleet;
use super::seconds;
use crate::hints::{PeerHint, SuspicionVote};
use rudder_core::LogTerm;
use std::time::Duration;

fn vote(number: u64, suspected: bool) -> PeerHint {
    vote_of(0, number, suspected)
}

fn vote_of(observer: usize, number: u64, suspected: bool) -> PeerHint {
    PeerHint::Vote(SuspicionVote {
        service: "scores-db".parse().unwrap(),
        member: "m1".parse().unwrap(),
        observer: format!("i{observer}-0").parse().unwrap(),
        domain: "d0".parse().unwrap(),
        term: LogTerm(1),
        number,
        suspected,
    })
}

#[test]
fn older_vote_of_an_observer_does_not_replace_its_newer_one() {
    // An observer suspects a member and withdraws the suspicion at once. The two votes take
    // different paths; if the last received one won, they would replace each other throughout the
    // fleet without end.
    let mut fleet = Fleet::joined(10, 11);

    fleet.publish(0, vote(1, true));
    fleet.publish(0, vote(2, false));
    fleet.run(seconds(20));

    for instance in 1..10 {
        let received = fleet.received(instance);
        assert_eq!(received.last(), Some(&vote(2, false)));
        assert!(received.len() <= 2);
    }
}

#[test]
fn direct_votes_reach_their_receivers_and_are_not_relayed() {
    // A healthy primary was replaced: one keeper lost its link to it and repeatedly voted to
    // suspect it, and the objections of the other two were withheld, because receivers relayed the
    // direct votes and used up their budgets.
    const VOTES: u64 = 60;
    let mut fleet = Fleet::joined(6, 12);

    for number in 1..=VOTES {
        fleet.send_hint(0, &[1, 2], &vote_of(0, number, true));
        fleet.run(Duration::from_millis(200));
        for keeper in [1, 2] {
            let others = [0, 3 - keeper];
            fleet.send_hint(keeper, &others, &vote_of(keeper, number, false));
        }
        fleet.run(Duration::from_millis(200));
    }

    let expected = usize::try_from(VOTES).unwrap();
    for keeper in [1, 2] {
        let from = |hint: &&PeerHint| matches!(hint, PeerHint::Vote(vote) if vote.observer == fleet.name_of(keeper));
        assert_eq!(fleet.received(0).iter().filter(from).count(), expected, "keeper {keeper}");
    }
    for outsider in 3..6 {
        assert!(fleet.received(outsider).is_empty(), "{:?}", fleet.received(outsider));
    }
}
