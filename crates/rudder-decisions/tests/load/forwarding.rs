//! Statements of many accounts on a fleet whose instances cannot all hold connections for each of
//! them.

use super::SEED;
use super::forwarding_fleet::simulate_fleet;
use super::forwarding_model::{
    ACCOUNTS, CONNECTIONS_MAX, FleetLoad, FleetResult, INSTANCES, account, candidates, member_name,
    place, service,
};
use rudder_core::InstanceName;
use rudder_decisions::{
    ForwardChoice, ForwardingRule, HolderBoard, HolderBudget, HolderCandidate, InstanceCapacity,
    LocalPool, forward_choice, rank_holders,
};
use std::time::{Duration, Instant};

/// Connections that are not divided among the instances.
const RESERVE: u32 = 4;

/// The four largest accounts have 70% of the load. Without forwarding, 94 of 100 statements then
/// open a connection, as was measured on the deployment.
const LOAD: FleetLoad = FleetLoad { forwards: true, skew: 1.5, rate: 701.0, surge: 0.0 };

fn simulate(load: FleetLoad) -> FleetResult {
    simulate_fleet(load, Duration::from_secs(60), SEED)
}

fn budgets(
    connections_max: u32,
    candidates: &[HolderCandidate],
    domain: usize,
) -> Vec<HolderBudget> {
    let of = |candidate: &HolderCandidate| {
        let member = member_name(domain);
        HolderBudget::of(connections_max, &member, &candidate.instance, candidates, &place(domain))
    };
    candidates.iter().map(of).collect()
}

fn kept(budgets: &[HolderBudget]) -> u32 {
    budgets.iter().map(|budget| budget.kept).sum()
}

fn without(index: usize) -> Vec<HolderCandidate> {
    let mut rest = candidates();
    rest.remove(index);
    rest
}

#[test]
fn statements_find_an_open_connection_at_the_holders() {
    // Without holders an instance rarely finds a connection of the right account, and nearly every
    // statement costs a slot the time of a dial.
    let forwarded = simulate(LOAD);
    let own = simulate(FleetLoad { forwards: false, ..LOAD });

    assert!(forwarded.dials_per_statement() < 0.2, "{forwarded:?}");
    assert!(own.dials_per_statement() > 0.9, "{own:?}");
    assert!(forwarded.mean_ms < own.mean_ms, "{forwarded:?} {own:?}");
}

#[test]
fn members_accept_all_connections_whatever_the_sizes_of_the_accounts() {
    // Beyond its limit a member resets connections, of whichever instance.
    for skew in [0.5, 0.8, 1.0, 1.2, 1.5, 2.0] {
        let forwarded = simulate(FleetLoad { skew, ..LOAD });
        let own = simulate(FleetLoad { skew, forwards: false, ..LOAD });

        assert_eq!(forwarded.refused, 0, "{skew}: {forwarded:?}");
        assert!(forwarded.peak <= CONNECTIONS_MAX, "{skew}: {forwarded:?}");
        assert!(forwarded.dials_per_statement() < 0.6 * own.dials_per_statement(), "{skew}");
    }
}

#[test]
fn a_large_account_uses_several_holders_and_the_others_stay() {
    // Two fifths of all statements are of one account and at one member. A single holder queues
    // them; if its overload moved all of its accounts, these would open connections elsewhere.
    let result = simulate(FleetLoad { surge: 0.4, ..LOAD });

    let (others, at_first) = result.others;
    assert!((2..=4).contains(&result.holders_of_largest.len()), "{result:?}");
    assert!(f64::from(at_first) > 0.99 * f64::from(others), "{result:?}");
    assert!(f64::from(result.declined) < 0.05 * f64::from(result.served), "{result:?}");
}

#[test]
fn a_saturated_member_is_not_filled_with_connections() {
    // Three fifths of all statements are of one account and at one member, more than it can serve.
    // If each instance dialed once the holders are overloaded, the member would refuse hundreds of
    // thousands of connections, and its slots would open connections instead of running statements.
    let load = FleetLoad { surge: 0.6, ..LOAD };
    let forwarded = simulate(load);
    let own = simulate(FleetLoad { forwards: false, ..load });

    assert_eq!(forwarded.refused, 0, "{forwarded:?}");
    assert!(forwarded.served > own.served, "{forwarded:?} {own:?}");
    assert!(forwarded.rejected < forwarded.served / 10, "{forwarded:?}");
    assert!(forwarded.mean_ms < 100.0, "{forwarded:?}");
}

#[test]
fn the_loss_of_a_holder_moves_only_its_accounts() {
    // If the order of the others changed as well, one lost instance would cost the connections of
    // many accounts.
    let all = candidates();
    for lost in [0, 17, 87] {
        let rest = without(lost);
        for number in 0..ACCOUNTS {
            let rank = |list: &[HolderCandidate]| {
                rank_holders(&service(1), &account(number), list, &place(lost % 6))
            };
            let mut expected = rank(&all);
            expected.retain(|holder| *holder != all[lost].instance);

            assert_eq!(rank(&rest), expected);
        }
    }
}

#[test]
fn holders_have_accounts_in_proportion_to_their_capacity() {
    // Otherwise the smallest machines are overloaded first: capacities differ by a factor of four.
    let all = candidates();
    let mut by_capacity: Vec<(InstanceCapacity, u32, u32)> = Vec::new();
    for domain in 0..6 {
        for candidate in all.iter().filter(|candidate| candidate.place == place(domain)) {
            let mut held = 0;
            for number in 0..ACCOUNTS * 8 {
                let (service, account) = (service(number / ACCOUNTS), account(number % ACCOUNTS));
                let first = &rank_holders(&service, &account, &all, &place(domain))[0];
                held += u32::from(*first == candidate.instance);
            }
            match by_capacity.iter_mut().find(|known| known.0 == candidate.capacity) {
                Some(known) => *known = (known.0, known.1 + 1, known.2 + held),
                None => by_capacity.push((candidate.capacity, 1, held)),
            }
        }
    }
    for (capacity, instances, held) in by_capacity {
        // 688 accounts and services in each of six domains, over capacities of 292 on average.
        let expected = 688.0 * 6.0 / 88.0 * f64::from(capacity.0) / 292.0;
        let held = f64::from(held) / f64::from(instances);
        assert!((0.75..1.3).contains(&(held / expected)), "{capacity}: {held} of {expected}");
    }
}

#[test]
fn instances_of_the_members_domain_come_first_then_those_of_its_region() {
    // A holder far from the member pays the latency for each statement of a transaction.
    let all = candidates();
    let ranked = rank_holders(&service(0), &account(0), &all, &place(2));

    let place_of = |holder: &InstanceName| {
        let found = all.iter().find(|candidate| candidate.instance == *holder);
        found.expect("a candidate").place.clone()
    };
    let distances: Vec<_> =
        ranked.iter().map(|holder| place(2).distance(&place_of(holder))).collect();
    assert_eq!(ranked.len(), INSTANCES);
    assert!(distances.is_sorted(), "{distances:?}");
}

#[test]
fn kept_connections_fill_half_of_what_a_member_accepts() {
    // After a loss of power the member counts them for 3 s; the next fleet needs the other half.
    let all = candidates();
    for connections_max in 36..120 {
        for domain in 0..6 {
            let budgets = budgets(connections_max, &all, domain);
            assert_eq!(kept(&budgets), (connections_max - RESERVE) / 2, "of {connections_max}");
        }
    }
}

#[test]
fn all_parts_of_an_ample_limit_stay_within_it() {
    // Nine instances may each open several connections; those that are no holders only use theirs
    // if no holder is usable, and then at the same time as the holders.
    let few: Vec<HolderCandidate> = candidates().into_iter().take(9).collect();
    for connections_max in 20..120 {
        for domain in 0..6 {
            let budgets = budgets(connections_max, &few, domain);
            let sum: u32 = budgets.iter().map(|budget| budget.open_max).sum();
            assert!(sum <= connections_max - RESERVE, "{sum} of {connections_max}");
        }
    }
}

#[test]
fn a_half_smaller_than_the_domain_leaves_one_connection_for_each_holder() {
    let all = candidates();
    for connections_max in 0..36 {
        let budgets = budgets(connections_max, &all, 0);
        assert!(kept(&budgets) <= connections_max.saturating_sub(RESERVE));
        assert!(budgets.iter().all(|budget| budget.open_max >= 1));
    }
}

#[test]
fn the_region_holds_connections_for_a_domain_without_instances() {
    // Otherwise nobody keeps a connection to such a member, and each statement opens one.
    let mut rest = candidates();
    rest.retain(|candidate| candidate.place != place(2));

    let budgets = budgets(CONNECTIONS_MAX, &rest, 2);

    assert_eq!(kept(&budgets), 33);
    let holds = |index: usize| budgets[index].kept > 0;
    assert!((0..rest.len()).all(|index| holds(index) == (rest[index].place == place(3))));
}

#[test]
fn instances_without_a_capacity_are_rarely_first() {
    // They run an older build, which accepts no forwarded statements.
    let mut all = candidates();
    all[0].capacity = InstanceCapacity::default();

    let first = |number: &usize| {
        let ranked = rank_holders(&service(0), &account(*number), &all, &place(0));
        ranked[0] == all[0].instance
    };

    assert!((0..ACCOUNTS).filter(first).count() <= 1);
}

#[test]
fn forwarding_is_needed_only_beyond_the_connections() {
    // Deployments without accounts, and small ones, must behave as before.
    assert!(!ForwardingRule::new(INSTANCES, 0, 0).is_needed());
    assert!(!ForwardingRule::new(7, 10, 70).is_needed());
    assert!(ForwardingRule::new(71, 1, 70).is_needed());
    assert!(ForwardingRule::new(usize::MAX, usize::MAX, u32::MAX).is_needed());
}

#[test]
fn a_silent_holder_is_tried_by_one_statement_at_growing_intervals() {
    // Each try costs a caller 600 ms, more than the shortest latency target.
    let holder: InstanceName = "entry-00".parse().expect("a name");
    let start = Instant::now();
    let mut board = HolderBoard::default();
    let mut tries = 0;
    for step in 0..6000 {
        let now = start + Duration::from_millis(10 * step);
        if board.try_use(&holder, &account(0), now) {
            tries += 1;
            board.record_unreachable(&holder, now);
            // A second failure of an earlier statement.
            board.record_unreachable(&holder, now);
        }
    }

    // At 0, 1, 3, 7 and 15 s, then every 8 s.
    assert_eq!(tries, 10);
}

#[test]
fn a_holder_with_a_long_queue_of_its_own_uses_the_next_one() {
    // The largest account's holder would otherwise queue its own callers without limit.
    let holders: Vec<InstanceName> =
        candidates().into_iter().take(2).map(|candidate| candidate.instance).collect();
    let mut board = HolderBoard::default();
    let now = Instant::now();
    let choose = |waiting, board: &mut HolderBoard| {
        let pool = LocalPool { is_warm: false, waiting, open_max: 2 };
        forward_choice(&holders[0], &account(0), &holders, pool, board, now)
    };

    assert_eq!(choose(3, &mut board), ForwardChoice::Local);
    assert_eq!(choose(4, &mut board), ForwardChoice::Forward(holders[1].clone()));
    board.record_overloaded(&holders[1], &account(0), now);
    assert_eq!(choose(4, &mut board), ForwardChoice::Local);
}

#[test]
fn a_rejected_statement_learns_when_a_holder_is_tried_again() {
    // Without a delay, hundreds of callers retry at once and are declined again.
    let (own, account) = ("origin".parse().expect("a name"), account(0));
    let holders: Vec<InstanceName> =
        candidates().into_iter().take(6).map(|candidate| candidate.instance).collect();
    let mut board = HolderBoard::default();
    let start = Instant::now();
    for (step, holder) in (0..).zip(&holders[..4]) {
        board.record_overloaded(holder, &account, start + Duration::from_millis(step));
    }
    let now = start + Duration::from_millis(50);
    let choice = forward_choice(&own, &account, &holders, LocalPool::default(), &mut board, now);

    assert_eq!(choice, ForwardChoice::Busy { retry_after: Duration::from_millis(200) });
    let later = now + Duration::from_millis(200);
    let choice = forward_choice(&own, &account, &holders, LocalPool::default(), &mut board, later);
    assert_eq!(choice, ForwardChoice::Forward(holders[0].clone()));
}
