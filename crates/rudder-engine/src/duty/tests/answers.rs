//! Exchange of records between instances.

use super::fixture::{RecordStore, WriteOutcome, engine_named, first_record};
use crate::clock::boot_time;
use crate::duty::answers::{handle_request, handle_response, notify_subscribers, request_records};
use crate::engine::ProxyEngine;
use crate::peers::{PeerEntry, PeerExchange, PeerMessage, ReceivedDatagram};
use rudder_core::ServiceName;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

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
        let Ok(received) = next else { return false };
        let ReceivedDatagram { message, from, trailer } = received;
        match message {
            PeerMessage::FetchRecords(request) => {
                handle_request(&self.engine, &self.exchange, request, from).await;
            }
            PeerMessage::Records(response) => {
                handle_response(&self.engine, &self.exchange, response, trailer, from).await;
            }
            other => panic!("an unexpected datagram: {other:?}"),
        }
        true
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
