//! Exchange of records between instances.

use super::fixture::{RecordStore, WriteOutcome, engine_named, first_record};
use crate::clock::boot_time;
use crate::duty::answers::{handle_request, handle_response, notify_subscribers, request_records};
use crate::engine::ProxyEngine;
use crate::group::ServiceGroup;
use crate::peers::{PeerEntry, PeerExchange, PeerMessage, serve_copies};
use rudder_core::ServiceName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// An instance with its socket on loopback.
struct Peer {
    engine: Arc<ProxyEngine>,
    exchange: PeerExchange,
}

impl Peer {
    async fn new(name: &str) -> Self {
        let store = RecordStore::new(&first_record(), &[WriteOutcome::Refused]);
        let engine = engine_named(&store, name);
        let exchange = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a socket");
        Self { engine, exchange }
    }

    /// Returns a peer that is registered and has read the record from the store.
    async fn registered(name: &str) -> Self {
        let peer = Self::new(name).await;
        peer.engine.set_registered(Some(boot_time()));
        peer.read_store();
        peer
    }

    /// Returns a peer that is registered and knows no record.
    async fn registered_only(name: &str) -> Self {
        let peer = Self::new(name).await;
        peer.engine.set_registered(Some(boot_time()));
        peer
    }

    fn read_store(&self) {
        let now = boot_time();
        self.engine.record_store_read(&[service()], now);
        self.engine.observe_record(&service(), &first_record(), now);
    }

    fn confirmed_at(&self) -> Duration {
        self.engine.group(&service()).with_leases(|leases| leases.confirmed_at())
    }

    fn address(&self) -> SocketAddr {
        self.exchange.address()
    }

    /// Handles the next datagram. Panics if none arrives in time.
    async fn handle_next(&self) {
        assert!(self.handle_next_within(Duration::from_secs(2)).await, "no datagram came");
    }

    /// Handles the next datagram. Returns whether one arrived in time.
    async fn handle_next_within(&self, limit: Duration) -> bool {
        let next = tokio::time::timeout(limit, self.exchange.receive()).await;
        let Ok((message, from)) = next else { return false };
        match message {
            PeerMessage::FetchRecords(request) => {
                handle_request(&self.engine, &self.exchange, request, from).await;
            }
            PeerMessage::RecordsSummary(response) => {
                handle_response(&self.engine, &self.exchange, *response, from).await;
            }
            other => panic!("an unexpected datagram: {other:?}"),
        }
        true
    }
}

/// Number of ports that are tried for datagrams and connections.
const PORTS_MAX: u32 = 50;

/// Number of services whose records do not fit a datagram.
const MANY_SERVICES: usize = 200;

fn nth_service(number: usize) -> ServiceName {
    format!("records-{number:03}").parse().expect("a name")
}

/// Returns a peer that has read the records of many services from the store, and serves copies.
async fn reader_of_many() -> Peer {
    let (peer, listener) = peer_with_listener().await;
    read_many(&peer);
    tokio::spawn(serve_copies(Arc::clone(&peer.engine), listener));
    peer
}

/// Returns a peer with a listener for connections on the port of its datagrams, which another test's
/// connection may occupy.
async fn peer_with_listener() -> (Peer, TcpListener) {
    for _ in 0..PORTS_MAX {
        let peer = Peer::registered_only("reader").await;
        if let Ok(listener) = TcpListener::bind(peer.address()).await {
            return (peer, listener);
        }
    }
    panic!("no port is free for datagrams and connections");
}

fn read_many(peer: &Peer) {
    let now = boot_time();
    let services: Vec<_> = (0..MANY_SERVICES).map(nth_service).collect();
    peer.engine.record_store_read(&services, now);
    for service in &services {
        peer.engine.observe_record(service, &first_record(), now);
    }
}

fn leases(peer: &Peer) -> usize {
    let groups = peer.engine.groups();
    let leads =
        |group: &ServiceGroup| group.with_leases(|leases| leases.lease(boot_time()).is_some());
    groups.iter().filter(|group| leads(group)).count()
}

/// Lets a follower request the records of a reader, and apply the response.
async fn follow_once(follower: &Peer, reader: &Peer) {
    request_records(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.handle_next().await;
    follower.handle_next().await;
}

/// The records of a thousand services exceed a datagram. If no response came, each instance of a
/// fleet would read them from the store, twice a second.
#[tokio::test]
async fn records_that_exceed_a_datagram_come_by_connection_and_are_confirmed_at_once() {
    let reader = reader_of_many().await;
    let follower = Peer::registered_only("follower").await;
    follow_once(&follower, &reader).await;
    wait_for(|| follower.engine.known_records().len() == MANY_SERVICES).await;
    assert_eq!(leases(&follower), 0, "a copy has no age");

    read_many(&reader);
    follow_once(&follower, &reader).await;

    assert_eq!(leases(&follower), MANY_SERVICES);
}

/// A restarted process must not vote on versions that it may have stopped for: it has to know all
/// records as of a read of the store after its registration.
#[tokio::test]
async fn records_of_a_peer_count_as_a_read_only_from_after_the_registration() {
    let reader = reader_of_many().await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    let follower = Peer::registered_only("follower").await;
    follow_once(&follower, &reader).await;
    wait_for(|| follower.engine.known_records().len() == MANY_SERVICES).await;

    follow_once(&follower, &reader).await;
    let before = follower.engine.has_read_records();
    read_many(&reader);
    follow_once(&follower, &reader).await;

    assert!(!before, "the reader's read precedes the follower's registration");
    assert!(follower.engine.has_read_records());
}

/// A lease must not be renewed by times that belong to other records.
#[tokio::test]
async fn records_that_a_response_does_not_summarize_are_ignored() {
    let reader = Peer::registered("reader").await;
    let follower = Peer::registered_only("follower").await;
    request_records(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.handle_next().await;
    let (message, from) = follower.exchange.receive().await;
    let PeerMessage::RecordsSummary(mut response) = message else { panic!("{message:?}") };
    let records = response.records.as_mut().expect("a record that the follower lacks");
    records[0].record.epoch = records[0].record.epoch.next();

    handle_response(&follower.engine, &follower.exchange, *response, from).await;

    assert!(follower.engine.known_records().is_empty());
}

/// While a fleet writes its first records, each response would cause another copy of all of them.
#[tokio::test]
async fn a_copy_of_all_records_is_not_fetched_again_at_once() {
    let peer = Peer::new("own").await;

    assert!(peer.engine.try_start_records_fetch());
    assert!(!peer.engine.try_start_records_fetch());
}

async fn wait_for(condition: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + Duration::from_secs(5);
    while !condition() {
        assert!(tokio::time::Instant::now() < deadline, "the condition was not met in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn service() -> ServiceName {
    "records".parse().expect("a name")
}

fn entry(instance: &str, address: SocketAddr) -> PeerEntry {
    PeerEntry {
        instance: instance.parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        address,
        marked: false,
        capacity: None,
    }
}

/// Without notifications, each instance of a fleet would send several requests a second.
#[tokio::test]
async fn subscriber_receives_newer_records_without_a_new_request() {
    let reader = Peer::registered("reader").await;
    let follower = Peer::registered("follower").await;
    request_records(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.handle_next().await;
    follower.handle_next().await;
    let before = follower.confirmed_at();
    tokio::time::sleep(Duration::from_millis(20)).await;

    reader.read_store();
    notify_subscribers(&reader.engine, &reader.exchange).await;
    follower.handle_next().await;

    assert!(follower.confirmed_at() >= before + Duration::from_millis(15));
    assert!(follower.confirmed_at() <= reader.confirmed_at());
}

/// A response that was delayed in transit must not renew a lease beyond the time it was sent.
#[tokio::test]
async fn delayed_response_does_not_extend_the_confirmation() {
    let reader = Peer::registered("reader").await;
    let follower = Peer::registered("follower").await;
    request_records(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.handle_next().await;

    tokio::time::sleep(Duration::from_millis(60)).await;
    follower.handle_next().await;

    assert!(boot_time() >= follower.confirmed_at() + Duration::from_millis(60));
}

/// Two instances that subscribe to each other must not send each other's content back and forth
/// endlessly.
#[tokio::test]
async fn mutual_subscribers_do_not_echo_responses() {
    let one = Peer::registered("one").await;
    let other = Peer::registered("other").await;
    request_records(&one.engine, &one.exchange, &[other.address()], true).await;
    other.handle_next().await;
    one.handle_next().await;
    request_records(&other.engine, &other.exchange, &[one.address()], true).await;
    one.handle_next().await;
    other.handle_next().await;
    tokio::time::sleep(Duration::from_millis(20)).await;

    one.read_store();
    notify_subscribers(&one.engine, &one.exchange).await;
    other.handle_next().await;
    one.handle_next().await;
    let echoed = other.handle_next_within(Duration::from_millis(200)).await;

    assert!(!echoed, "a record returned to its source is not newer");
}

/// A record that no instance has confirmed since a change must not renew leases.
#[tokio::test]
async fn unconfirmed_record_from_a_peer_grants_no_lease() {
    let reader = Peer::registered("reader").await;
    let follower = Peer::registered("follower").await;
    let mut next = first_record();
    next.epoch = next.epoch.next();
    reader.engine.observe_record(&service(), &next, Duration::ZERO);

    request_records(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.handle_next().await;
    follower.handle_next().await;

    let leases = follower.engine.group(&service()).with_leases(|leases| leases.clone());
    assert_eq!(leases.epoch(), next.epoch);
    assert_eq!(leases.lease(boot_time()), None);
}

/// Without the digest, each instance of a fleet would read the list of instances itself.
#[tokio::test]
async fn matching_digest_confirms_the_instance_list() {
    let reader = Peer::registered("reader").await;
    let follower = Peer::registered("follower").await;
    let entries = vec![entry("follower", follower.address()), entry("reader", reader.address())];
    let read_at = boot_time();
    follower.engine.membership().set_entries(entries.clone(), read_at);
    tokio::time::sleep(Duration::from_millis(20)).await;
    reader.engine.membership().set_entries(entries, boot_time());

    request_records(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.handle_next().await;
    follower.handle_next().await;

    let (_, confirmed_at) = follower.engine.membership().entries_version();
    assert!(confirmed_at >= read_at + Duration::from_millis(15));
}
