//! Reports of hubs, and the part of a limit that an owner grants.

use super::{account, engine, entry, granted_claims};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::limits::report_reach;
use crate::peers::{CopyVersion, PeerEntry, PeerExchange, PeerHeartbeat, PeerMessage, ReachNotice};
use rudder_decisions::{DomainCount, FleetReach, ReachReport};
use std::sync::Arc;
use std::time::Duration;

/// Longer than the time for which the reach as last worked out is used.
const REACH_UPDATE_DELAY: Duration = Duration::from_millis(300);

/// Longer than the time in which an instance discovers its peers.
const DISCOVERY_DELAY: Duration = Duration::from_millis(1600);

/// Longer than the first report takes.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// An instance of the domain `north` with a peer there and two in the domain `south`.
struct ReachFixture {
    engine: Arc<ProxyEngine>,
    exchange: PeerExchange,
    near: PeerExchange,
    far: [PeerExchange; 2],
}

fn entry_at(name: &str, domain: &str, exchange: &PeerExchange) -> PeerEntry {
    let domain = domain.parse().expect("a name");
    PeerEntry { domain, address: exchange.address(), ..entry(name) }
}

async fn bind() -> PeerExchange {
    PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a socket")
}

fn counted(domain: &str, count: usize) -> DomainCount {
    DomainCount { domain: domain.parse().expect("a name"), count }
}

fn south(count: usize) -> DomainCount {
    counted("south", count)
}

/// Returns a notice of a hub about its own domain.
fn notice(reporter: &str, own: DomainCount) -> ReachNotice {
    notice_with(reporter, own, Vec::new())
}

fn notice_with(reporter: &str, own: DomainCount, others: Vec<DomainCount>) -> ReachNotice {
    ReachReport { reporter: reporter.parse().expect("a name"), own, others }.into()
}

impl ReachFixture {
    async fn new() -> Self {
        let (engine, exchange) = (engine(), bind().await);
        let (near, far) = (bind().await, [bind().await, bind().await]);
        engine.set_exchange(exchange.clone());
        let entries = vec![
            entry_at("own", "north", &exchange),
            entry_at("near", "north", &near),
            entry_at("far-1", "south", &far[0]),
            entry_at("far-2", "south", &far[1]),
        ];
        engine.membership().set_entries(entries, boot_time());
        Self { engine, exchange, near, far }
    }

    fn receive_heartbeat(&self) {
        let heartbeat = PeerHeartbeat {
            instance: "near".parse().expect("a name"),
            process: 1,
            domain: "north".parse().expect("a name"),
            version: CopyVersion::default(),
            store_unreachable: false,
            leaving: false,
            suspicions: Vec::new(),
        };
        self.engine.membership().record_heartbeat(heartbeat, self.near.address());
    }

    async fn reach(&self) -> FleetReach {
        tokio::time::sleep(REACH_UPDATE_DELAY).await;
        self.engine.fleet_reach()
    }
}

async fn next_report(exchange: &PeerExchange) -> Option<ReachReport> {
    let received = tokio::time::timeout(REPORT_TIMEOUT, exchange.receive()).await;
    match received.ok()?.0 {
        PeerMessage::Reach(notice) => Some(notice.into()),
        other => panic!("{other:?}"),
    }
}

/// Owners of two sets without a link between them could each grant the whole limit.
#[tokio::test]
async fn an_owner_grants_the_part_of_the_limit_that_corresponds_to_its_part_of_the_fleet() {
    let fixture = ReachFixture::new().await;
    let from = fixture.far[0].address();
    fixture.engine.handle_reach_notice(notice("far-1", south(2)), from);
    tokio::time::sleep(DISCOVERY_DELAY).await;
    fixture.receive_heartbeat();

    let apart = fixture.reach().await;
    fixture.receive_heartbeat();
    fixture.engine.handle_reach_notice(notice("far-1", south(2)), from);
    let joined = fixture.reach().await;

    assert_eq!(apart, FleetReach { reached: 2, listed: 4 });
    assert_eq!(joined, FleetReach { reached: 4, listed: 4 });
}

/// Claims could be decided under the whole limit although the owner's part of the fleet is small.
#[tokio::test]
async fn claims_are_decided_under_the_part_of_the_limit() {
    let granted_alone = {
        let engine = engine();
        super::set_instance_list(&engine, &["own"]);
        granted_claims(&engine, 12).await
    };
    let engine = engine();
    let peers: Vec<String> = (0..30).map(|number| format!("peer-{number}")).collect();
    let is_first = |names: &[&str]| {
        super::set_instance_list(&engine, names);
        engine.membership().limit_owners(&account(), 1)[0].instance.as_str() == "own"
    };
    let peer = peers.iter().find(|peer| is_first(&["own", peer])).expect("a peer of lower rank");
    super::set_instance_list(&engine, &["own", peer]);
    tokio::time::sleep(DISCOVERY_DELAY).await;

    let granted_apart = granted_claims(&engine, 12).await;

    assert_eq!((granted_alone, granted_apart), (3, 1));
}

/// Before the hubs of a set report, or if they are of an older build, limits apply in full.
#[tokio::test]
async fn an_instance_without_reports_grants_the_whole_limit() {
    let fixture = ReachFixture::new().await;
    fixture.receive_heartbeat();

    assert_eq!(fixture.reach().await, FleetReach { reached: 4, listed: 4 });
}

/// The other instances could not work out their part of the fleet.
#[tokio::test]
async fn a_hub_reports_to_its_domain_and_to_the_hubs_of_the_others() {
    let fixture = ReachFixture::new().await;
    let from = fixture.far[1].address();
    fixture.engine.handle_reach_notice(notice("far-2", south(1)), from);
    let (engine, exchange) = (Arc::clone(&fixture.engine), fixture.exchange.clone());

    let task = tokio::spawn(report_reach(engine, exchange));
    let near = next_report(&fixture.near).await.expect("a report");
    let far = next_report(&fixture.far[0]).await.expect("a report");
    task.abort();

    assert_eq!((near.own.count, near.others), (2, vec![south(1)]));
    assert_eq!((far.own.count, far.others), (2, Vec::new()));
}

/// Any process could raise the part of a limit that an owner grants.
#[tokio::test]
async fn reports_of_unknown_senders_and_for_other_domains_are_rejected() {
    let fixture = ReachFixture::new().await;
    let known = fixture.far[0].address();
    let unlisted = notice_with("far-1", south(1), vec![counted("west", 9)]);

    fixture.engine.handle_reach_notice(notice("far-1", south(1)), bind().await.address());
    fixture.engine.handle_reach_notice(notice("far-2", south(1)), known);
    fixture.engine.handle_reach_notice(notice("far-1", counted("north", 9)), known);
    fixture.engine.handle_reach_notice(unlisted, known);

    let state = fixture.engine.limits().state();
    assert_eq!(state.reach_board.reporters(boot_time()).count(), 0);
}
