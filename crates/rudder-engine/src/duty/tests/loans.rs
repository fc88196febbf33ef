//! Loans of connections between two instances that exchange datagrams.

use crate::clock::boot_time;
use crate::duty::keeper::ShareUpdater;
use crate::duty::{heartbeat, loans};
use crate::engine::ProxyEngine;
use crate::fixtures::{RejectingPromotion, UnavailableStore, identity, member_entry};
use crate::group::{LinkRequest, LinkUser, MemberEntry, PooledLink};
use crate::identity::EngineDependencies;
use crate::interfaces::{LinkError, MemberDialer, MemberLink, MemberTarget};
use crate::peers::{PeerEntry, PeerExchange};
use crate::settings::{
    DatabaseName, FleetSettings, RouteKind, RouteRule, ServiceRule, SettingsVersion,
};
use crate::statement::{MemberCommand, StatementReply};
use async_trait::async_trait;
use rudder_core::{AccountName, MemberStatus};
use rudder_decisions::ConnectionShare;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Connections that the member accepts: two for each instance, and four that are reserved.
const CONNECTIONS: u32 = 7;

const WAIT: Duration = Duration::from_secs(4);

/// Longer than the time for which a new process lends nothing, and than the interval of reports.
const SETTLING_TIME: Duration = Duration::from_millis(3000);

/// Member that counts its open connections.
#[derive(Default)]
struct CountingMember {
    open: Arc<AtomicU32>,
    most_open: Arc<AtomicU32>,
}

struct CountedLink {
    open: Arc<AtomicU32>,
}

impl Drop for CountedLink {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}

#[async_trait]
impl MemberDialer for CountingMember {
    async fn dial(
        &self,
        _target: &MemberTarget,
        _account: Option<&AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError> {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_open.fetch_max(open, Ordering::SeqCst);
        Ok(Box::new(CountedLink { open: Arc::clone(&self.open) }))
    }

    fn read_status(&self, _reply: &StatementReply) -> Option<MemberStatus> {
        None
    }
}

#[async_trait]
impl MemberLink for CountedLink {
    async fn send(&mut self, _commands: &[MemberCommand]) -> Result<(), LinkError> {
        Ok(())
    }

    async fn receive(&mut self) -> Result<StatementReply, LinkError> {
        Err(LinkError::Silent)
    }
}

fn settings() -> FleetSettings {
    let service = member_entry("a").target.service;
    let route = RouteRule {
        database: DatabaseName("db".to_owned()),
        service: service.clone(),
        kind: RouteKind::Strict,
        statement_timeout: WAIT,
        latency_target: WAIT,
        priority: 1,
        is_public: true,
    };
    let rule = ServiceRule { service, connections_max: CONNECTIONS, sync_replicas: 0 };
    FleetSettings::sorted(SettingsVersion(1), vec![route], vec![rule], WAIT)
}

/// Returns two instances that know each other and exchange datagrams. The first one's share is one
/// connection, the second one's two.
async fn instances(member: &Arc<CountingMember>) -> [Arc<ProxyEngine>; 2] {
    let mut engines = Vec::new();
    let mut entries = Vec::new();
    for name in ["one", "two"] {
        let dependencies = EngineDependencies {
            dialer: Arc::clone(member) as _,
            promotion: Arc::new(RejectingPromotion),
            store: Arc::new(UnavailableStore),
        };
        let engine = ProxyEngine::new(identity(name), dependencies);
        let exchange = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a port");
        entries.push(PeerEntry {
            instance: name.parse().expect("a name"),
            domain: "north".parse().expect("a name"),
            address: exchange.address(),
            marked: false,
            capacity: None,
        });
        engine.set_exchange(exchange.clone());
        engines.push((engine, exchange));
    }
    let members: [MemberEntry; 1] = [member_entry("a")];
    let names: Vec<_> = entries.iter().map(|entry| entry.instance.clone()).collect();
    for (engine, exchange) in &engines {
        engine.membership().set_entries(entries.clone(), boot_time());
        engine.apply_settings(settings());
        engine.apply_members(&members, 1);
        loans::update_modes(engine);
        for group in engine.groups().iter() {
            group.assign_connection_shares(CONNECTIONS, &engine.identity().name, &names, None);
        }
        tokio::spawn(heartbeat::receive(Arc::clone(engine), exchange.clone()));
        tokio::spawn(loans::keep_loans(Arc::clone(engine), exchange.clone()));
    }
    let mut engines = [&engines[0].0, &engines[1].0].map(Arc::clone);
    engines.sort_by_key(|engine| {
        let own = &engine.identity().name;
        ConnectionShare::of(CONNECTIONS, &members[0].target.member, own, &names).0
    });
    engines
}

/// Begins to acquire a connection.
fn acquire(engine: &Arc<ProxyEngine>) -> JoinHandle<Option<PooledLink>> {
    let member = engine.groups()[0].members().remove(0);
    let request = LinkRequest { user: LinkUser::Caller(None), rank: 4 };
    tokio::spawn(async move { member.pool().acquire(&request, WAIT).await.ok() })
}

/// An instance at its share would refuse callers while the other one has a connection that it does
/// not use, and the other one would not get it back when its own callers wait.
#[tokio::test]
async fn a_connection_is_lent_and_recalled_between_two_instances() {
    let member = Arc::new(CountingMember::default());
    let [borrower, lender] = instances(&member).await;
    tokio::time::sleep(SETTLING_TIME).await;

    let mut held = Vec::new();
    for _ in 0..2 {
        held.push(acquire(&borrower).await.expect("no panic").expect("a connection"));
    }
    let kept = acquire(&lender).await.expect("no panic");
    let recalled = acquire(&lender);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let was_waiting = !recalled.is_finished();
    held.pop();
    let returned = recalled.await.expect("no panic");

    assert!(kept.is_some() && was_waiting && returned.is_some());
    assert!(member.most_open.load(Ordering::SeqCst) <= 3, "the shares are exceeded");
}

/// Returns an instance of a fleet whose instances have one or two connections to each of three
/// members of `services` services.
fn instance_of_fleet(instances: usize, services: usize) -> Arc<ProxyEngine> {
    let dependencies = EngineDependencies {
        dialer: Arc::new(CountingMember::default()),
        promotion: Arc::new(RejectingPromotion),
        store: Arc::new(UnavailableStore),
    };
    let engine = ProxyEngine::new(identity("own"), dependencies);
    let domains = ["east", "north", "south"];
    let entries = (0..instances).map(|number| PeerEntry {
        instance: if number == 0 { "own".to_owned() } else { format!("peer-{number}") }
            .parse()
            .expect("a name"),
        domain: if number == 0 { "north" } else { domains[number % 3] }.parse().expect("a name"),
        address: ([127, 0, 0, 1], 1000 + u16::try_from(number).expect("few")).into(),
        marked: false,
        capacity: None,
    });
    engine.membership().set_entries(entries.collect(), boot_time());
    let connections_max = u32::try_from(instances + instances / 2).expect("few");
    let service = |number: usize| format!("records-{number}").parse().expect("a name");
    let members: Vec<MemberEntry> = (0..3 * services)
        .map(|number| {
            let entry = member_entry(&format!("m-{number}"));
            let target = MemberTarget { service: service(number / 3), ..entry.target };
            MemberEntry { target, ..entry }
        })
        .collect();
    let rule = |number| ServiceRule { service: service(number), connections_max, sync_replicas: 0 };
    let rules = (0..services).map(rule).collect();
    let route = RouteRule { service: service(0), ..settings().routes[0].as_ref().clone() };
    engine.apply_settings(FleetSettings::sorted(SettingsVersion(1), vec![route], rules, WAIT));
    engine.apply_members(&members, 1);
    loans::update_modes(&engine);
    let names = engine.membership().known();
    for group in engine.groups().iter() {
        group.assign_connection_shares(connections_max, &engine.identity().name, &names, None);
    }
    engine
}

/// Each instance of a fleet with thousands of members would send and receive reports on all of them
/// from all instances of its failure domain, every second.
#[tokio::test]
async fn reports_of_spare_connections_do_not_grow_with_members_or_instances() {
    let mut sent = Vec::new();
    for (instances, services) in [(40, 8), (200, 300), (400, 600)] {
        let engine = instance_of_fleet(instances, services);
        tokio::time::sleep(SETTLING_TIME).await;
        let mut schedule = loans::ReportSchedule::new(7);
        let report = schedule.due(&engine, Instant::now()).expect("spare connections");
        let repeated = schedule.due(&engine, Instant::now() + Duration::from_millis(1500));
        let bytes = postcard::to_stdvec(&report).expect("a message is written").len();
        sent.push((bytes * loans::report_receivers(&engine, 7).len(), repeated.is_some()));
    }

    assert!(sent[1..].iter().all(|(bytes, _)| *bytes < 4096), "{sent:?}");
    assert!(sent.iter().all(|(_, is_repeated)| !is_repeated), "{sent:?}");
}

/// Each instance of a fleet with thousands of members would work out the loans of all of them several
/// times a second, although nobody needs one.
#[tokio::test]
async fn passes_over_loans_do_not_grow_with_members() {
    let mut checks = Vec::new();
    for services in [8, 300, 600] {
        let engine = instance_of_fleet(200, services);
        tokio::time::sleep(SETTLING_TIME).await;
        let mut updater = ShareUpdater::default();
        for _ in 0..3 {
            updater.update(&engine, &engine.groups());
        }
        let before = engine.loans().checks();
        for _ in 0..4 {
            updater.update(&engine, &engine.groups());
            engine.loans().advance(&engine.groups(), 7, true);
        }
        for _ in 0..100 {
            engine.loans().advance(&engine.groups(), 7, false);
        }
        checks.push(engine.loans().checks() - before);
    }

    assert!(checks.iter().all(|count| *count <= 4 * 64), "{checks:?}");
}

/// A member of a large fleet for which a caller waits would get a loan only when its turn comes.
#[tokio::test]
async fn a_member_that_callers_wait_for_is_checked_at_once() {
    let engine = instance_of_fleet(200, 300);
    tokio::time::sleep(SETTLING_TIME).await;
    loans::update_modes(&engine);
    let group = engine.groups()[150].clone();
    let member = group.members().remove(0);
    let request = LinkRequest { user: LinkUser::Caller(None), rank: 4 };
    let mut held = Vec::new();
    while member.pool().spare_connections() > 0 {
        held.push(member.pool().acquire(&request, WAIT).await.expect("a connection"));
    }
    let waiting = tokio::spawn(async move { member.pool().acquire(&request, WAIT).await.is_ok() });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let before = engine.loans().checks();

    engine.loans().advance(&engine.groups(), 7, false);
    let checked = engine.loans().checks() - before;
    engine.loans().advance(&engine.groups(), 7, false);
    let checked_again = engine.loans().checks() - before - checked;
    waiting.abort();

    assert_eq!((checked, checked_again), (1, 1));
}
