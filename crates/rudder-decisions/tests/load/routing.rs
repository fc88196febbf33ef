use super::arrivals::ArrivalPattern;
use super::current::PolicySettings;
use super::model::Request;
use super::summary::LoadSummary;
use super::{INSTANCES, SEED, group, simulate_both};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_core::{LogStamp, MemberRole};
use rudder_decisions::{
    MemberHealth, MemberView, MemberWeight, ReadDemand, ReadRoute, ReadRouter, RouteReason,
};
use std::time::Duration;

fn view(name: &str, role: MemberRole) -> MemberView {
    MemberView {
        name: name.parse().expect("a valid name"),
        role,
        domain: "bangor".parse().expect("a valid name"),
        applied: LogStamp::new(1, 100),
        age: Some(Duration::from_millis(100)),
        lag: Duration::from_millis(100),
        in_flight: 0,
        slots: 5,
        sending_instances: 7,
        service: Duration::from_millis(10),
        link_cost: Duration::from_millis(2),
        health: MemberHealth::Ready,
        weight: MemberWeight::FULL,
    }
}

fn views() -> Vec<MemberView> {
    vec![view("primary", MemberRole::Primary), view("replica", MemberRole::Replica)]
}

fn demand(floor: u64, floor_age_ms: u64) -> ReadDemand {
    ReadDemand {
        floor: Some(LogStamp::new(1, floor)),
        floor_age: Duration::from_millis(floor_age_ms),
        max_staleness: Duration::from_secs(1),
        domain: "bangor".parse().expect("a valid name"),
        wait_max: Duration::from_millis(50),
    }
}

fn choose(demand: &ReadDemand, members: &[MemberView]) -> (ReadRoute, RouteReason) {
    let choice = ReadRouter::new().choose(demand, members, &mut StdRng::seed_from_u64(SEED));
    (choice.route, choice.reason)
}

// A session reads immediately after a write. The replica lags by 100 ms and lacks the write.
#[test]
fn a_read_after_a_write_waits_or_goes_to_the_primary() {
    let members = views();

    let nearly_applied = choose(&demand(101, 70), &members);
    let not_applied = choose(&demand(101, 0), &members);
    let applied = choose(&demand(100, 0), &members);

    assert_eq!(
        nearly_applied,
        (ReadRoute::WaitFor(1, Duration::from_millis(30)), RouteReason::CatchUp)
    );
    assert_eq!(not_applied, (ReadRoute::Primary(0), RouteReason::FloorAhead));
    assert_eq!(applied, (ReadRoute::Replica(1), RouteReason::OnlyFresh));
}

// Without recent contact with a primary the age of a replica's data is unknown. It must not be
// served as recent data.
#[test]
fn an_unknown_age_exceeds_any_staleness_bound() {
    let mut members = views();
    members[1].age = None;

    let with_primary = choose(&demand(1, 0), &members);
    members[0].health = MemberHealth::Down;
    let without_primary = choose(&demand(1, 0), &members);

    assert_eq!(with_primary, (ReadRoute::Primary(0), RouteReason::TooOld));
    assert_eq!(without_primary, (ReadRoute::Refuse, RouteReason::NoMember));
}

#[test]
fn a_leaving_member_gets_no_read() {
    let mut members = views();
    members[1].health = MemberHealth::Leaving;

    let choice = choose(&demand(1, 0), &members);

    assert_eq!(choice, (ReadRoute::Primary(0), RouteReason::NoReplica));
}

// Two replicas have nearly the same expected response time; one is in another failure domain, and
// the link between domains is costly.
#[test]
fn equal_replicas_are_chosen_by_failure_domain() {
    let mut members = views();
    members.push(view("far", MemberRole::Replica));
    members[2].domain = "caerdydd".parse().unwrap();
    members[2].service = Duration::from_micros(9_800);

    let rng = &mut StdRng::seed_from_u64(SEED);
    let router = ReadRouter::new();
    let routes: Vec<ReadRoute> =
        (0..100).map(|_| router.choose(&demand(1, 0), &members, rng).route).collect();
    members[2].service = Duration::from_millis(5);
    let faster_route = choose(&demand(1, 0), &members).0;

    assert!(routes.iter().all(|route| *route == ReadRoute::Replica(1)));
    assert_eq!(faster_route, ReadRoute::Replica(2));
}

// Sessions write before every fourth read while replicas lag by 100 ms. If a session used the
// primary after each write, most reads would not reach the replicas.
#[test]
fn replicas_serve_three_in_four_reads_of_writing_sessions() {
    let mut members = group();
    members.iter_mut().for_each(|member| member.lag = Duration::from_millis(100));
    let pattern = ArrivalPattern::steady(300.0, Duration::from_secs(20), INSTANCES);
    let mut requests = pattern.draw(&mut StdRng::seed_from_u64(SEED));
    for (index, request) in requests.iter_mut().enumerate() {
        let since_write = Duration::from_millis(100 * (index as u64 % 4));
        request.floor = Some(request.at.saturating_sub(since_write));
    }

    let read_wait = Duration::from_millis(120);
    let settings = PolicySettings { read_wait, ..PolicySettings::default() };

    let (current, _) = simulate_both(&members, &requests, settings);

    let on_replica = |_: &Request, outcome: &super::model::Outcome| outcome.member != Some(0);
    let summary = LoadSummary::of(&requests, &current, on_replica);
    assert!(summary.requests * 100 >= requests.len() * 75, "{summary:?}");
    assert!(summary.p99_ms < 200.0, "{summary:?}");
}
