//! Tests of the assignment of keepers and holders as instances join and leave.

use super::{ConnectionShare, DutyMap, HolderRule, forwarding_order, holders_of, keepers_of};
use crate::member::{Incarnation, PeerEntry, PeerState};
use rudder_core::{ConnectionCount, ServiceName};
use std::time::Duration;

const DOMAINS: usize = 7;

fn fleet(size: usize) -> Vec<PeerEntry> {
    (0..size)
        .map(|number| PeerEntry {
            name: format!("i{number:04}").parse().unwrap(),
            address: ([127, 0, 0, 1], 7000).into(),
            domain: format!("d{}", number % DOMAINS).parse().unwrap(),
            incarnation: Incarnation(1),
            state: PeerState::Live,
        })
        .collect()
}

fn services(count: usize) -> Vec<ServiceName> {
    (0..count).map(|number| format!("s{number:04}").parse().unwrap()).collect()
}

fn without(peers: &[PeerEntry], removed: usize) -> Vec<PeerEntry> {
    let others = peers.iter().enumerate().filter(|(index, _)| *index != removed);
    others.map(|(_, peer)| peer.clone()).collect()
}

fn domains_of(names: &[rudder_core::InstanceName], peers: &[PeerEntry]) -> usize {
    let mut domains: Vec<_> =
        peers.iter().filter(|peer| names.contains(&peer.name)).map(|peer| &peer.domain).collect();
    domains.sort();
    domains.dedup();
    domains.len()
}

#[test]
fn keepers_are_in_different_failure_domains() {
    // If one failure domain contained a primary and all keepers of its group, its loss would leave
    // no instance to detect the failure and promote a replica.
    let peers = fleet(60);

    for service in services(200) {
        let keepers = keepers_of(&service, &peers, 3);

        assert_eq!(keepers.len(), 3);
        assert_eq!(domains_of(&keepers, &peers), 3);
    }
}

#[test]
fn too_few_failure_domains_do_not_reduce_keeper_count() {
    let mut peers = fleet(6);
    for peer in &mut peers {
        peer.domain = "only".parse().unwrap();
    }

    for service in services(20) {
        assert_eq!(keepers_of(&service, &peers, 3).len(), 3);
    }
}

#[test]
fn removing_an_instance_reassigns_only_its_groups() {
    // In a large fleet, an instance is replaced every few minutes. If that moved the duties of
    // others, groups would be without a stable keeper.
    let peers = fleet(60);

    for removed in [0, 17, 59] {
        let rest = without(&peers, removed);
        for service in services(300) {
            let before = keepers_of(&service, &peers, 3);
            let after = keepers_of(&service, &rest, 3);
            let kept = before.iter().filter(|name| after.contains(name)).count();
            let affected = before.contains(&peers[removed].name);

            assert_eq!(kept, if affected { 2 } else { 3 });
            if !affected {
                assert_eq!(before, after);
            }
        }
    }
}

#[test]
fn keepers_do_not_depend_on_the_order_of_the_list() {
    let peers = fleet(30);
    let reversed: Vec<PeerEntry> = peers.iter().rev().cloned().collect();

    for service in services(50) {
        assert_eq!(keepers_of(&service, &peers, 3), keepers_of(&service, &reversed, 3));
    }
}

#[test]
fn leaving_instances_lose_their_duties_and_suspect_ones_keep_them() {
    let mut peers = fleet(10);
    let service = &services(1)[0];
    let before = keepers_of(service, &peers, 3);
    let index = |peers: &[PeerEntry], rank: usize| {
        peers.iter().position(|peer| peer.name == before[rank]).unwrap()
    };
    let (first, second) = (index(&peers, 0), index(&peers, 1));
    peers[first].state = PeerState::Leaving;
    peers[second].state = PeerState::Suspect;

    let after = keepers_of(service, &peers, 3);

    assert!(!after.contains(&before[0]));
    assert!(after.contains(&before[1]));
}

#[test]
fn duties_are_shared_evenly_at_the_planned_size() {
    let (peers, services) = (fleet(570), services(780));
    let mut counts = Vec::new();

    for peer in peers.iter().step_by(19) {
        counts.push(DutyMap::new(&peer.name, &services, &peers, 3).duties().len());
    }

    let mean = 780 * 3 / 570;
    assert!(counts.iter().all(|count| *count <= 4 * mean));
}

#[test]
fn a_duty_map_agrees_with_the_choice_of_each_group() {
    let (peers, services) = (fleet(20), services(40));

    let map = DutyMap::new(&peers[4].name, &services, &peers, 3);

    for service in &services {
        let keepers = keepers_of(service, &peers, 3);
        assert_eq!(map.rank(service), keepers.iter().position(|name| *name == peers[4].name));
    }
}

#[test]
fn holders_are_spread_over_failure_domains() {
    let peers = fleet(570);

    for service in services(50) {
        let holders = holders_of(&service, &peers, 7);
        let order = forwarding_order(&peers[3].domain, &holders, &peers);

        assert_eq!(domains_of(&holders, &peers), 7);
        assert_eq!(domains_of(&order[..1], &peers), 1);
        assert!(peers.iter().any(|p| p.name == order[0] && p.domain == peers[3].domain));
    }
}

#[test]
fn keepers_are_the_first_holders() {
    // A keeper that forwards no statements of its group must poll its members four times a second.
    let peers = fleet(60);

    for service in services(50) {
        let holders = holders_of(&service, &peers, 7);

        assert_eq!(keepers_of(&service, &peers, 3), holders[..3]);
    }
}

#[test]
fn shares_never_exceed_what_a_member_accepts() {
    let rule = HolderRule::default();

    for connections in 1..100 {
        for instances in 1..600 {
            let holders = rule.holders(ConnectionCount(connections), instances);
            let share = rule.share(ConnectionCount(connections), holders);
            let total = share.0 * u32::try_from(holders).unwrap();

            assert!(total <= connections);
            assert!(share.0 >= 1);
        }
    }
}

#[test]
fn share_shrinks_at_once_and_grows_only_after_the_growth_delay() {
    // One instance takes over the share of a removed instance, while another has seen a new
    // instance that the first has not. Together they would open more connections than the member
    // accepts.
    let settle = Duration::from_secs(10);
    let second = Duration::from_secs;
    let mut share = ConnectionShare::new(ConnectionCount(4), settle);

    let shrunk = share.update(ConnectionCount(3), second(0));
    let waiting = share.update(ConnectionCount(5), second(1));
    let reduced = share.update(ConnectionCount(4), second(6));
    let grown = share.update(ConnectionCount(5), second(11));
    let later = share.update(ConnectionCount(5), second(12));

    assert_eq!([shrunk.0, waiting.0, reduced.0], [3, 3, 3]);
    assert_eq!(
        grown,
        ConnectionCount(4),
        "grows to the smallest share wanted throughout the delay"
    );
    assert_eq!(later, ConnectionCount(4), "further growth starts a new delay");
}
