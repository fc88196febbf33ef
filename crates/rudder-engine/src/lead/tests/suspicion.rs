//! Conditions for a change of primary.

use super::{changing, member, ms, settled};
use crate::lead::{
    ChangeCause, LeaderEpoch, LeaseTable, MemberOrder, PeerVote, PrimaryHealth, decide_change,
    order_candidates,
};
use rudder_core::{InstanceName, LogStamp};

fn name(text: &str) -> InstanceName {
    text.parse().expect("a name")
}

/// Votes of instances named after their failure domains; upper case stands for a suspicion.
fn votes(text: &str) -> Vec<PeerVote> {
    let vote = |(index, domain): (usize, char)| PeerVote {
        instance: name(&format!("i{index}")),
        domain: domain.to_lowercase().to_string().parse().expect("a name"),
        suspects: domain.is_uppercase(),
    };
    text.chars().enumerate().map(vote).collect()
}

fn healthy() -> PrimaryHealth {
    PrimaryHealth {
        unreachable_since: None,
        absent_since: None,
        conflict_since: None,
        draining: false,
        replaceable: true,
        holder_ended: false,
    }
}

fn led_by_a() -> LeaseTable {
    let mut leases = LeaseTable::default();
    leases.observe(&settled(1, "a", 1, None), ms(0), ms(0));
    leases
}

/// Decision of the instance that is ranked first, long after the observations began.
fn decision(
    leases: &LeaseTable,
    health: &PrimaryHealth,
    votes: &[PeerVote],
) -> Option<ChangeCause> {
    let decide = |vote: &PeerVote| decide_change(leases, health, &vote.instance, votes, ms(9000));
    votes.iter().find_map(decide)
}

#[test]
fn one_instance_with_a_cut_link_replaces_no_primary() {
    // Only one instance's link to the primary is cut; all others can use it. A change would stop
    // every write for a second, and lose what the successor has not received.
    let health = PrimaryHealth { unreachable_since: Some(ms(100)), ..healthy() };

    assert_eq!(decision(&led_by_a(), &health, &votes("Abc")), None);
}

#[test]
fn an_isolated_domain_replaces_no_primary() {
    let health = PrimaryHealth { unreachable_since: Some(ms(100)), ..healthy() };

    assert_eq!(decision(&led_by_a(), &health, &votes("AAAbc")), None);
}

#[test]
fn an_isolated_instance_replaces_no_primary() {
    let health = PrimaryHealth { unreachable_since: Some(ms(100)), ..healthy() };

    assert_eq!(decision(&led_by_a(), &health, &votes("A")), None);
}

#[test]
fn a_primary_that_a_majority_cannot_reach_is_replaced() {
    let health = PrimaryHealth { unreachable_since: Some(ms(100)), ..healthy() };

    assert_eq!(decision(&led_by_a(), &health, &votes("ABc")), Some(ChangeCause::Unreachable));
}

#[test]
fn a_short_interruption_replaces_no_primary() {
    // A dropped packet is retransmitted after 0.2 s.
    let health = PrimaryHealth { unreachable_since: Some(ms(8800)), ..healthy() };

    assert_eq!(decision(&led_by_a(), &health, &votes("ABC")), None);
}

#[test]
fn a_primary_without_a_candidate_is_not_replaced() {
    let health = PrimaryHealth { draining: true, replaceable: false, ..healthy() };

    assert_eq!(decision(&led_by_a(), &health, &votes("abc")), None);
}

#[test]
fn an_unfinished_change_is_taken_over_after_its_timeout_or_its_holder_ended() {
    // The holder may only be slow. Two concurrent changes would promote two members in turn.
    let mut leases = led_by_a();
    leases.observe(&changing(2, "x", "a"), ms(6000), ms(6000));
    let ended = PrimaryHealth { holder_ended: true, ..healthy() };

    assert_eq!(decision(&leases, &healthy(), &votes("abc")), None);
    assert_eq!(decision(&leases, &ended, &votes("abc")), Some(ChangeCause::Unfinished));
}

#[test]
fn instances_act_in_the_order_of_their_ranks() {
    // All instances observe the same at the same time; only the one that is ranked first acts at
    // once.
    let leases = led_by_a();
    let health = PrimaryHealth { unreachable_since: Some(ms(0)), ..healthy() };
    let votes = votes("ABC");
    let acting = |now: u64| {
        let acts = |vote: &&PeerVote| {
            decide_change(&leases, &health, &vote.instance, &votes, ms(now)).is_some()
        };
        votes.iter().filter(acts).count()
    };

    assert_eq!((acting(249), acting(250), acting(550), acting(850)), (0, 1, 2, 3));
}

/// Guards against a takeover that orders the old primary, whose own order is still pending, while
/// its successor is being promoted.
#[test]
fn the_member_that_was_ordered_last_comes_first() {
    let order = |name: &str, epoch| MemberOrder { member: member(name), epoch: LeaderEpoch(epoch) };
    let reports = ["a", "b", "c"].into_iter().zip([100, 90, 95]);
    let reports: Vec<_> =
        reports.map(|(name, length)| (member(name), LogStamp::new(1, length))).collect();
    let first = |orders: &[MemberOrder]| order_candidates(reports.clone(), orders)[0].0.clone();

    assert_eq!(first(&[]), member("a"));
    assert_eq!(first(&[order("a", 5), order("b", 8)]), member("b"));
}
