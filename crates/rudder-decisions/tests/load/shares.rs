use super::arrivals::ArrivalPattern;
use super::current::{LimitRule, PolicySettings};
use super::setup::{PolicyChoice, simulate};
use super::summary::LoadSummary;
use super::{INSTANCES, SEED, group};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_core::{ConnectionCount, InstanceName, ServiceName};
use rudder_decisions::{DemandPart, HolderShare, holders_of};
use std::time::{Duration, Instant};

const CONNECTIONS: ConnectionCount = ConnectionCount(30);

fn instances(count: usize) -> Vec<InstanceName> {
    (0..count).map(|index| format!("instance-{index}").parse().expect("a valid name")).collect()
}

// Instances learn seconds apart that load has moved from one to another. If one share grows before
// the other has shrunk, the endpoint refuses connections, including those that it must accept.
#[test]
fn shares_never_add_up_to_more_than_the_endpoint_accepts() {
    let start = Instant::now();
    let high_demand = DemandPart::of(80, 100, 7);
    let low_demand = DemandPart::of(20, 600, 7);
    let mut shares: Vec<HolderShare> =
        (0..7).map(|_| HolderShare::new(CONNECTIONS, 7, start)).collect();
    let mut greatest = 0;

    for second in 0..60_u64 {
        let now = start + Duration::from_secs(second);
        let period = second / 20;
        let busiest = [6, 0, 2][period as usize];
        for (index, share) in shares.iter_mut().enumerate() {
            // Each instance learns of the change with a delay of up to six seconds.
            let is_informed = second.saturating_sub(index as u64) / 20 == period;
            let part = if index == busiest { high_demand } else { low_demand };
            if is_informed {
                share.set_holders(7, part, now);
            }
        }
        greatest = greatest.max(shares.iter().map(|share| share.current(now)).sum::<u32>());
    }

    assert!(greatest <= CONNECTIONS.0, "{greatest}");
    assert!(
        shares[2].current(start + Duration::from_secs(60)) > 12,
        "the share of the busy instance has grown"
    );
}

// Half of the callers are connected to one instance. With an even share of the connections it
// refuses some of their requests while connections of the other instances are idle.
#[test]
fn connections_follow_the_demand() {
    let mut members = group();
    let between_domains = Duration::from_millis(8);
    members.iter_mut().for_each(|member| member.links = vec![between_domains; INSTANCES]);
    let pattern = ArrivalPattern {
        write_share: 0.25,
        timeout: Duration::from_secs(2),
        ..ArrivalPattern::steady(800.0, Duration::from_secs(20), INSTANCES)
    };
    let mut requests = pattern.draw(&mut StdRng::seed_from_u64(SEED));
    let half_of_requests = requests.iter_mut().filter(|request| request.caller % 2 == 0);
    half_of_requests.for_each(|request| request.instance = 0);
    let settings = |limit| {
        let queue_wait = Duration::from_secs(1);
        PolicyChoice::Current(PolicySettings { limit, queue_wait, ..PolicySettings::default() })
    };

    let by_demand = simulate(&members, &requests, settings(LimitRule::WindowByDemand(570)), SEED);
    let even = simulate(&members, &requests, settings(LimitRule::WindowEven), SEED);

    let served = |outcomes| LoadSummary::of(&requests, outcomes, |_, _| true).served_share();
    assert!(served(&by_demand) > 0.99, "{}", served(&by_demand));
    assert!(served(&even) < 0.95, "{}", served(&even));
}

#[test]
fn a_lost_instance_moves_only_the_services_that_it_held() {
    let all = instances(20);
    let remaining = &all[1..];
    let services: Vec<ServiceName> =
        (0..200).map(|index| format!("service-{index}").parse().unwrap()).collect();

    let moved_count = services
        .iter()
        .filter(|service| {
            let before = holders_of(service, &all, 3);
            !before.contains(&all[0]) && holders_of(service, remaining, 3) != before
        })
        .count();

    assert_eq!(moved_count, 0);
}
