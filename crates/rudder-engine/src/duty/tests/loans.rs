//! Loans of connections between two instances that exchange datagrams.

use crate::clock::boot_time;
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
use std::time::Duration;
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
    let rule = ServiceRule { service, connections_max: CONNECTIONS };
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
