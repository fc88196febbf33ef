//! What instances tell each other of the records.

use super::fixture::{RecordStore, WriteFate, engine_named, first_record};
use crate::clock::boot_time;
use crate::duty::answers::{answer_question, ask, take_answer, tell_subscribers};
use crate::engine::ProxyEngine;
use crate::peers::{PeerEntry, PeerExchange, PeerMessage};
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
        let store = RecordStore::new(&first_record(), &[WriteFate::Refused]);
        let engine = engine_named(&store, name);
        let exchange = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a socket");
        Self { engine, exchange }
    }

    /// One that has entered the list and read the record.
    async fn that_read_the_store(name: &str) -> Self {
        let peer = Self::new(name).await;
        peer.engine.set_listed(Some(boot_time()));
        peer.read_store();
        peer
    }

    fn read_store(&self) {
        let now = boot_time();
        self.engine.note_records_read(&[service()], now);
        self.engine.observe(&service(), &first_record(), now);
    }

    fn confirmed_at(&self) -> Duration {
        self.engine.group(&service()).with_leases(|leases| leases.confirmed_at())
    }

    fn address(&self) -> SocketAddr {
        self.exchange.address()
    }

    /// Takes in the next datagram; none may come for a moment.
    async fn take_next(&self) {
        assert!(self.take_next_within(Duration::from_secs(2)).await, "no datagram came");
    }

    /// Takes in the next datagram, if one comes in time.
    async fn take_next_within(&self, limit: Duration) -> bool {
        let next = tokio::time::timeout(limit, self.exchange.receive()).await;
        let Ok((message, from)) = next else { return false };
        match message {
            PeerMessage::Ask(question) => {
                answer_question(&self.engine, &self.exchange, question, from).await;
            }
            PeerMessage::Records(answer) => {
                take_answer(&self.engine, &self.exchange, answer, from).await;
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
    }
}

/// Guards against a fleet in which every instance asks several times a second.
#[tokio::test]
async fn one_question_is_answered_again_when_there_is_newer_knowledge() {
    let reader = Peer::that_read_the_store("reader").await;
    let follower = Peer::that_read_the_store("follower").await;
    ask(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.take_next().await;
    follower.take_next().await;
    let before = follower.confirmed_at();
    tokio::time::sleep(Duration::from_millis(20)).await;

    reader.read_store();
    tell_subscribers(&reader.engine, &reader.exchange).await;
    follower.take_next().await;

    assert!(follower.confirmed_at() >= before + Duration::from_millis(15));
    assert!(follower.confirmed_at() <= reader.confirmed_at());
}

/// Guards against a lease that an answer renews although it was long on its way.
#[tokio::test]
async fn an_answer_that_is_late_is_as_old_as_when_it_was_sent() {
    let reader = Peer::that_read_the_store("reader").await;
    let follower = Peer::that_read_the_store("follower").await;
    ask(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.take_next().await;

    tokio::time::sleep(Duration::from_millis(60)).await;
    follower.take_next().await;

    assert!(boot_time() >= follower.confirmed_at() + Duration::from_millis(60));
}

/// Guards against datagrams without end between two that tell each other what each has told.
#[tokio::test]
async fn two_that_follow_each_other_fall_silent() {
    let one = Peer::that_read_the_store("one").await;
    let other = Peer::that_read_the_store("other").await;
    ask(&one.engine, &one.exchange, &[other.address()], true).await;
    other.take_next().await;
    one.take_next().await;
    ask(&other.engine, &other.exchange, &[one.address()], true).await;
    one.take_next().await;
    other.take_next().await;
    tokio::time::sleep(Duration::from_millis(20)).await;

    one.read_store();
    tell_subscribers(&one.engine, &one.exchange).await;
    other.take_next().await;
    one.take_next().await;
    let more = other.take_next_within(Duration::from_millis(200)).await;

    assert!(!more, "what comes back to its source is no news");
}

/// Guards against a record that nobody confirmed since a change and that renews leases all the same.
#[tokio::test]
async fn what_a_peer_only_heard_of_gives_no_lease() {
    let reader = Peer::that_read_the_store("reader").await;
    let follower = Peer::that_read_the_store("follower").await;
    let mut next = first_record();
    next.epoch = next.epoch.next();
    reader.engine.observe(&service(), &next, Duration::ZERO);

    ask(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.take_next().await;
    follower.take_next().await;

    let leases = follower.engine.group(&service()).with_leases(|leases| leases.clone());
    assert_eq!(leases.epoch(), next.epoch);
    assert_eq!(leases.lease(boot_time()), None);
}

/// Guards against a list of instances that each of a fleet reads for itself.
#[tokio::test]
async fn an_unchanged_list_of_instances_is_confirmed_by_its_digest() {
    let reader = Peer::that_read_the_store("reader").await;
    let follower = Peer::that_read_the_store("follower").await;
    let entries = vec![entry("follower", follower.address()), entry("reader", reader.address())];
    let read_at = boot_time();
    follower.engine.membership().set_entries(entries.clone(), read_at);
    tokio::time::sleep(Duration::from_millis(20)).await;
    reader.engine.membership().set_entries(entries, boot_time());

    ask(&follower.engine, &follower.exchange, &[reader.address()], true).await;
    reader.take_next().await;
    follower.take_next().await;

    let (_, confirmed_at) = follower.engine.membership().entries_version();
    assert!(confirmed_at >= read_at + Duration::from_millis(15));
}
