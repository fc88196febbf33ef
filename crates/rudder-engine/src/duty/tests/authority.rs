//! The counting authority in the store, and its confirmations between instances.

use crate::clock::boot_time;
use crate::duty::answers::{handle_request, handle_response, request_records};
use crate::duty::authority::keep_once;
use crate::engine::ProxyEngine;
use crate::fixtures::{RejectingPromotion, UnreachableDialer, identity};
use crate::identity::EngineDependencies;
use crate::peers::{
    AuthorityTrailer, CopyVersion, PeerEntry, PeerExchange, PeerHeartbeat, PeerMessage,
    ReceivedDatagram,
};
use crate::settings::{
    AccountLimit, AccountRule, AccountTable, FleetSettings, KeyDigest, SettingsVersion,
};
use async_trait::async_trait;
use rudder_store::{
    InstanceEntry, ObjectKind, ObjectVersion, PlatformStore, StoreError, StoredObject,
};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Default)]
struct StoreState {
    object: Option<(u64, Value)>,
    calls: usize,
    writes: usize,
    unavailable: bool,
}

/// Store with at most one object.
#[derive(Default)]
struct AuthorityStore(Mutex<StoreState>);

impl AuthorityStore {
    fn state(&self) -> std::sync::MutexGuard<'_, StoreState> {
        self.0.lock().expect("no holder panics")
    }

    fn set_object(&self, holder: &str, sequence: u64) {
        let spec = serde_json::json!({
            "holder": holder, "process": 9, "sequence": sequence, "renewal": 3
        });
        let mut state = self.state();
        let version = state.object.as_ref().map_or(0, |(version, _)| *version) + 1;
        state.object = Some((version, spec));
    }
}

fn stored((version, spec): &(u64, Value)) -> StoredObject {
    let version = ObjectVersion(version.to_string());
    StoredObject { name: "authority".to_owned(), version, spec: spec.clone() }
}

#[async_trait]
impl PlatformStore for AuthorityStore {
    async fn get(&self, kind: ObjectKind, _name: &str) -> Result<Option<StoredObject>, StoreError> {
        assert_eq!(kind, ObjectKind::LimitAuthority);
        let mut state = self.state();
        state.calls += 1;
        if state.unavailable {
            return Err(StoreError::Unavailable);
        }
        Ok(state.object.as_ref().map(stored))
    }

    async fn list(&self, _kind: ObjectKind) -> Result<Vec<StoredObject>, StoreError> {
        Ok(Vec::new())
    }

    async fn put(
        &self,
        _kind: ObjectKind,
        _name: &str,
        expected: Option<&ObjectVersion>,
        spec: Value,
    ) -> Result<StoredObject, StoreError> {
        let mut state = self.state();
        state.calls += 1;
        if state.unavailable {
            return Err(StoreError::Unavailable);
        }
        let version = state.object.as_ref().map(|(version, _)| *version);
        if version.map(|version| version.to_string()) != expected.map(|known| known.0.clone()) {
            return Err(StoreError::Conflict);
        }
        state.writes += 1;
        let object = (version.unwrap_or(0) + 1, spec);
        state.object = Some(object.clone());
        Ok(stored(&object))
    }

    async fn delete(
        &self,
        _kind: ObjectKind,
        _name: &str,
        _expected: &ObjectVersion,
    ) -> Result<(), StoreError> {
        Ok(())
    }

    async fn instances(&self) -> Result<Vec<InstanceEntry>, StoreError> {
        Ok(Vec::new())
    }
}

/// An instance with its socket on loopback.
struct Peer {
    engine: Arc<ProxyEngine>,
    exchange: PeerExchange,
    store: Arc<AuthorityStore>,
    version: Option<ObjectVersion>,
}

impl Peer {
    async fn new(name: &str, store: &Arc<AuthorityStore>, limit: Option<AccountLimit>) -> Self {
        let dependencies = EngineDependencies {
            dialer: Arc::new(UnreachableDialer),
            promotion: Arc::new(RejectingPromotion),
            store: Arc::clone(store) as _,
        };
        let engine = ProxyEngine::new(identity(name), dependencies);
        let exchange = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a socket");
        let keys = vec![KeyDigest::of("key-one")];
        let rule = AccountRule { name: "choirs".parse().expect("a name"), keys, limit };
        let accounts = AccountTable::sorted(vec![rule]).expect("one account");
        let settings = FleetSettings::sorted(
            SettingsVersion(1),
            Vec::new(),
            Vec::new(),
            Duration::from_secs(3),
        );
        engine.apply_settings(settings.with_accounts(accounts));
        engine.membership().set_entries(vec![entry(name, exchange.address())], boot_time());
        Self { engine, exchange, store: Arc::clone(store), version: None }
    }

    async fn keep_once(&mut self) {
        keep_once(&self.engine, &self.exchange, &mut self.version).await;
    }

    fn known(&self) -> Option<AuthorityTrailer> {
        self.engine.authority_trailer(boot_time())
    }

    fn knows_authority(&self) -> bool {
        self.known().is_some_and(|trailer| trailer.known.is_some())
    }

    async fn receive(&self) -> ReceivedDatagram {
        let next = tokio::time::timeout(Duration::from_secs(2), self.exchange.receive());
        next.await.expect("a datagram arrives")
    }

    /// Requests the records of `other` and applies the response, with the trailer or without it.
    async fn fetch_from(&self, other: &Self, keeps_trailer: bool) {
        request_records(&self.engine, &self.exchange, &[other.exchange.address()], false).await;
        let ReceivedDatagram { message, from, .. } = other.receive().await;
        let PeerMessage::FetchRecords(request) = message else { panic!("{message:?}") };
        handle_request(&other.engine, &other.exchange, request, from).await;
        let ReceivedDatagram { message, from, trailer } = self.receive().await;
        let PeerMessage::Records(response) = message else { panic!("{message:?}") };
        let trailer = trailer.filter(|_| keeps_trailer);
        handle_response(&self.engine, &self.exchange, response, trailer, from).await;
    }
}

fn entry(instance: &str, address: SocketAddr) -> PeerEntry {
    PeerEntry {
        instance: instance.parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        address,
        marked: false,
    }
}

fn limit() -> Option<AccountLimit> {
    Some(AccountLimit { milli_per_second: 1000, burst: 3 })
}

/// The object costs a write each 1.2 s, which a deployment without limits must not pay.
#[tokio::test]
async fn no_call_is_made_where_no_account_is_limited() {
    let store = Arc::new(AuthorityStore::default());
    let mut peer = Peer::new("own", &store, None).await;

    peer.keep_once().await;
    peer.keep_once().await;

    assert_eq!(store.state().calls, 0);
    assert_eq!(peer.known(), None);
}

/// Without an object, contact could never be told from that of another set.
#[tokio::test]
async fn the_fleet_reader_creates_the_object_and_renews_it_once_in_its_interval() {
    let store = Arc::new(AuthorityStore::default());
    let mut peer = Peer::new("own", &store, limit()).await;

    for _ in 0..4 {
        peer.keep_once().await;
    }
    assert!(peer.knows_authority());
    assert_eq!(store.state().writes, 1);
    tokio::time::sleep(Duration::from_millis(1250)).await;
    for _ in 0..4 {
        peer.keep_once().await;
    }

    assert_eq!(store.state().writes, 2);
}

/// A fleet that starts must not take the object of a running holder.
#[tokio::test]
async fn an_object_of_another_holder_is_not_taken_over_at_once() {
    let store = Arc::new(AuthorityStore::default());
    store.set_object("other", 4);
    let mut peer = Peer::new("own", &store, limit()).await;

    peer.keep_once().await;
    peer.keep_once().await;

    assert_eq!(store.state().writes, 0);
    assert!(!peer.knows_authority());
}

/// A holder that was replaced would go on confirming its set.
#[tokio::test]
async fn a_replaced_holder_no_longer_confirms() {
    let store = Arc::new(AuthorityStore::default());
    let mut peer = Peer::new("own", &store, limit()).await;
    peer.keep_once().await;
    peer.keep_once().await;
    let confirmed = peer.engine.authority_trailer(boot_time()).expect("limits apply");
    store.set_object("other", 9);

    tokio::time::sleep(Duration::from_millis(1250)).await;
    peer.keep_once().await;
    peer.keep_once().await;

    assert_eq!(store.state().writes, 1);
    let later = peer.engine.authority_trailer(boot_time()).expect("limits apply");
    let offset = |trailer: &AuthorityTrailer| {
        trailer.known.as_ref().and_then(|notice| notice.confirmed).expect("a confirmation")
    };
    assert!(offset(&later) < offset(&confirmed), "the confirmation has become older");
    assert_eq!(peer.store.state().calls, 4);
}

/// Instances that do not read the store would lose contact, and those behind an older build, which
/// sends no such bytes, must go on as before.
#[tokio::test]
async fn a_confirmation_passes_with_the_records() {
    let store = Arc::new(AuthorityStore::default());
    let mut reader = Peer::new("reader", &store, limit()).await;
    let behind_older_build = Peer::new("behind", &store, limit()).await;
    let follower = Peer::new("follower", &store, limit()).await;
    reader.keep_once().await;
    reader.keep_once().await;

    behind_older_build.fetch_from(&reader, false).await;
    follower.fetch_from(&reader, true).await;
    let last = Peer::new("last", &store, limit()).await;
    last.fetch_from(&follower, true).await;

    assert!(!behind_older_build.knows_authority());
    assert!(follower.knows_authority());
    assert!(last.knows_authority());
}

/// A holder without the store would lose contact although a majority responds to it.
#[tokio::test]
async fn a_majority_confirms_the_holder_while_the_store_fails() {
    let store = Arc::new(AuthorityStore::default());
    let mut reader = Peer::new("a-reader", &store, limit()).await;
    let follower = Peer::new("follower", &store, limit()).await;
    reader.keep_once().await;
    reader.keep_once().await;
    let entries = vec![
        entry("a-reader", reader.exchange.address()),
        entry("follower", follower.exchange.address()),
    ];
    reader.engine.membership().set_entries(entries, boot_time());
    store.state().unavailable = true;
    tokio::time::sleep(Duration::from_millis(1250)).await;
    reader.keep_once().await;
    let before = reader.engine.authority_trailer(boot_time());

    reader.fetch_from(&follower, true).await;

    let confirmed = |trailer: Option<AuthorityTrailer>| {
        trailer.and_then(|trailer| trailer.known)?.confirmed.map(|at| at.to_moment(boot_time()))
    };
    let (before, later) = (confirmed(before), confirmed(reader.known()));
    assert!(later > before.map(|at| at + Duration::from_millis(1000)), "{before:?}, {later:?}");
}

/// If the holder gave the object up as soon as another instance reads the store for the fleet, no
/// instance would confirm contact until that one has waited, or longer if the store fails for it.
#[tokio::test]
async fn a_holder_stays_the_holder_when_another_instance_becomes_the_fleet_reader() {
    let store = Arc::new(AuthorityStore::default());
    let mut peer = Peer::new("own", &store, limit()).await;
    peer.keep_once().await;
    peer.keep_once().await;
    let other = PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a socket");
    let entries = vec![entry("a-first", other.address()), entry("own", peer.exchange.address())];
    peer.engine.membership().set_entries(entries, boot_time());
    let heartbeat = PeerHeartbeat {
        instance: "a-first".parse().expect("a name"),
        process: 1,
        domain: "north".parse().expect("a name"),
        version: CopyVersion::default(),
        store_unreachable: false,
        leaving: false,
        suspicions: Vec::new(),
    };
    peer.engine.membership().record_heartbeat(heartbeat, other.address());
    // The reader is chosen by a hash among the instances that the store responds to.
    peer.engine.membership().record_store_response(false, boot_time());
    assert!(!peer.engine.membership().is_fleet_reader());

    tokio::time::sleep(Duration::from_millis(1250)).await;
    peer.keep_once().await;

    assert_eq!(store.state().writes, 2);
}

/// Confirmations of a holder that no longer reads the store for the fleet would reach no instance.
#[tokio::test]
async fn the_fleet_reader_subscribes_to_the_holder() {
    let store = Arc::new(AuthorityStore::default());
    let mut holder = Peer::new("holder", &store, limit()).await;
    holder.keep_once().await;
    holder.keep_once().await;
    let mut reader = Peer::new("a-reader", &store, limit()).await;
    reader.fetch_from(&holder, true).await;
    let entries = vec![
        entry("a-reader", reader.exchange.address()),
        entry("holder", holder.exchange.address()),
    ];
    reader.engine.membership().set_entries(entries, boot_time());

    reader.keep_once().await;

    let received = holder.receive().await;
    let PeerMessage::FetchRecords(request) = received.message else { panic!("{received:?}") };
    assert!(request.subscribes);
}
