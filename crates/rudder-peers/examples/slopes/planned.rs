//! Measurements that need no fleet: encoded sizes, and the selection of keepers at the planned
//! size.

use rudder_core::{LogStamp, LogTerm, MemberRole, MemberStatus, ServiceName};
use rudder_peers::{
    DutyMap, GroupHint, Incarnation, KEEPER_COUNT, LeavingNotice, LeavingSubject, MemberSample,
    PeerEntry, PeerHint, PeerState, RevisionHint, SuspicionVote, groups_bytes, heartbeat_bytes,
    holders_of, table_bytes,
};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const INSTANCES: usize = 570;
const SERVICES: usize = 780;
const DOMAINS: usize = 7;
/// Number of holders when 30 connections are divided, four per holder.
const HOLDERS: usize = 7;
/// Start time of an incarnation in 2026, in milliseconds since 1970.
const INCARNATION: u64 = 1_796_000_000_000;

pub(crate) fn lines() -> Vec<Value> {
    vec![sizes(), choices()]
}

fn sizes() -> Value {
    let peers = planned_peers();
    let hints = example_hints(0);
    let bare = heartbeat_bytes(&peers[0], &[], &[]);
    let with_hint =
        |hint: &PeerHint| heartbeat_bytes(&peers[0], &[], std::slice::from_ref(hint)) - bare;
    let groups: Vec<PeerHint> =
        (0..SERVICES).map(|number| example_hints(number).swap_remove(0)).collect();
    json!({
        "measure": "encoded sizes in bytes",
        "heartbeat without news, IP and UDP headers included": bare,
        "one member's news": heartbeat_bytes(&peers[0], &peers[1..2], &[]) - bare,
        "group hint": with_hint(&hints[0]),
        "member sample": with_hint(&hints[1]),
        "suspicion vote": with_hint(&hints[2]),
        "leaving notice": with_hint(&hints[3]),
        "revision hint": with_hint(&hints[4]),
        "table of 7 instances": table_bytes(&peers[0], &peers[..7]),
        "table of 570 instances": table_bytes(&peers[0], &peers),
        "primaries of 780 groups": groups_bytes(&peers[0].name, &groups),
        "status probe of a member": Value::Null,
    })
}

fn choices() -> Value {
    let peers = planned_peers();
    let services: Vec<ServiceName> =
        (0..SERVICES).filter_map(|number| format!("scores-db-{number:03}").parse().ok()).collect();
    let timer = Instant::now();
    let map = DutyMap::new(&peers[0].name, &services, &peers, KEEPER_COUNT);
    let keepers = timer.elapsed();
    let timer = Instant::now();
    let held = services
        .iter()
        .filter(|service| holders_of(service, &peers, HOLDERS).contains(&peers[0].name))
        .count();
    json!({
        "measure": "choices at the planned size",
        "instances": INSTANCES,
        "services": SERVICES,
        "keepers of all services, milliseconds": millis(keepers),
        "holders of all services, milliseconds": millis(timer.elapsed()),
        "services kept by the first instance": map.duties().len(),
        "services held by the first instance": held,
    })
}

fn millis(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}

fn planned_peers() -> Vec<PeerEntry> {
    (0..INSTANCES)
        .filter_map(|number| {
            let host = u8::try_from(number % 250).ok()?;
            let net = u8::try_from(number / 250).ok()?;
            Some(PeerEntry {
                name: format!("rudder-{number:04}").parse().ok()?,
                address: ([10, 20, net, host], 7400).into(),
                domain: format!("johannesburg-{}", number % DOMAINS).parse().ok()?,
                incarnation: Incarnation(INCARNATION),
                state: PeerState::Live,
            })
        })
        .collect()
}

fn example_hints(number: usize) -> Vec<PeerHint> {
    let name = |text: &str| format!("scores-db-{number:03}{text}");
    let service: ServiceName = name("").parse().expect("a name of allowed characters");
    let member: rudder_core::MemberName = name("-b").parse().expect("a name of allowed characters");
    let stamp = LogStamp::new(7, 1_000_000_000);
    let status = MemberStatus {
        role: MemberRole::Primary,
        accepted: LogTerm(7),
        received: stamp,
        applied: stamp,
    };
    let age = Some(Duration::from_millis(120));
    vec![
        PeerHint::Group(GroupHint {
            service: service.clone(),
            term: LogTerm(7),
            primary: member.clone(),
            stamp,
            age,
        }),
        PeerHint::Sample(MemberSample {
            service: service.clone(),
            member: member.clone(),
            status,
            age,
        }),
        PeerHint::Vote(SuspicionVote {
            service: service.clone(),
            member: member.clone(),
            observer: "rudder-0569".parse().expect("a name of allowed characters"),
            domain: "johannesburg-0".parse().expect("a name of allowed characters"),
            term: LogTerm(7),
            number: 3,
            suspected: true,
        }),
        PeerHint::Leaving(LeavingNotice { subject: LeavingSubject::Member(service, member) }),
        PeerHint::Revision(RevisionHint { number: 410 }),
    ]
}
