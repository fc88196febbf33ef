//! Which instance counts for an account.

mod queue;
mod reach;

use crate::clock::boot_time;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::fixtures::{
    RejectingPromotion, UnavailableStore, UnreachableDialer, identity, member_entry,
};
use crate::identity::{EngineDependencies, InstanceIdentity};
use crate::lead::{LeadPhase, LeadRecord, LeaderEpoch};
use crate::peers::PeerEntry;
use crate::settings::{
    AccountLimit, AccountRule, AccountTable, DatabaseName, FleetSettings, KeyDigest, RouteKind,
    RouteRule, SettingsVersion,
};
use crate::statement::{RequestId, StatementError};
use rudder_core::{AccountName, LogTerm};
use std::sync::Arc;
use std::time::Duration;

/// Longer than the time for which an account is refused at once after no owner responded.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(400);

fn account() -> AccountName {
    "choirs".parse().expect("a name")
}

fn settings(version: u64, burst: u32) -> FleetSettings {
    let limit = AccountLimit { milli_per_second: 10, burst };
    let keys = vec![KeyDigest::of("key-one")];
    let rule = AccountRule { name: account(), keys, limit: Some(limit) };
    let accounts = AccountTable::sorted(vec![rule]).expect("one account");
    let idle = Duration::from_secs(3);
    let routes = vec![route()];
    FleetSettings::sorted(SettingsVersion(version), routes, Vec::new(), idle)
        .with_accounts(accounts)
}

/// Returns an instance that was just in contact with the fleet and knows no instance list.
fn engine() -> Arc<ProxyEngine> {
    engine_with_key_validity(None)
}

fn engine_with_key_validity(key_validity: Option<Duration>) -> Arc<ProxyEngine> {
    engine_with(key_validity, Duration::ZERO)
}

fn engine_with(key_validity: Option<Duration>, window: Duration) -> Arc<ProxyEngine> {
    let dependencies = EngineDependencies {
        dialer: Arc::new(UnreachableDialer),
        promotion: Arc::new(RejectingPromotion),
        store: Arc::new(UnavailableStore),
    };
    let mut identity = InstanceIdentity { key_validity, ..identity("own") };
    identity.limit_bounds.tolerance = 18;
    identity.limit_bounds.window = window;
    let engine = ProxyEngine::new(identity, dependencies);
    engine.apply_members(&[member_entry("a")], 1);
    engine.set_registered(Some(boot_time()));
    let service = "records".parse().expect("a name");
    engine.record_store_read(std::slice::from_ref(&service), boot_time());
    let primary = "a".parse().expect("a name");
    let phase = LeadPhase::Settled { primary, term: LogTerm(1), base: None };
    let record =
        LeadRecord { epoch: LeaderEpoch(1), mark: "m1".to_owned(), phase, orders: Vec::new() };
    engine.observe_record(&service, &record, boot_time());
    engine.apply_settings(settings(1, 3));
    engine
}

fn entry(name: &str) -> PeerEntry {
    PeerEntry {
        instance: name.parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        address: ([127, 0, 0, 1], 9).into(),
        marked: false,
        capacity: None,
    }
}

fn set_instance_list(engine: &ProxyEngine, names: &[&str]) {
    let entries = names.iter().map(|name| entry(name)).collect();
    engine.membership().set_entries(entries, boot_time());
}

fn route() -> RouteRule {
    RouteRule {
        database: DatabaseName("db".to_owned()),
        service: "records".parse().expect("a name"),
        kind: RouteKind::Strict,
        statement_timeout: Duration::from_secs(1),
        latency_target: Duration::from_secs(1),
        priority: 1,
        is_public: false,
    }
}

fn access() -> RouteAccess {
    RouteAccess { route: Arc::new(route()), account: Some(account()) }
}

async fn granted_claims(engine: &ProxyEngine, count: usize) -> usize {
    let mut granted = 0;
    for _ in 0..count {
        let id = RequestId("r1".to_owned());
        granted += usize::from(engine.claim_operation(&access(), &id, None).await.is_ok());
    }
    granted
}

/// An instance without a list must not count: each instance of a restarting fleet would grant the
/// whole limit.
#[tokio::test]
async fn an_instance_without_an_instance_list_grants_no_operation() {
    let engine = engine();

    assert_eq!(granted_claims(&engine, 1).await, 0);
    set_instance_list(&engine, &["own"]);
    tokio::time::sleep(UNANSWERED_BACKOFF).await;
    assert_eq!(granted_claims(&engine, 9).await, 3);
}

/// After a power loss of all instances, accounts would otherwise be refused for the second that the
/// first list takes.
#[tokio::test]
async fn a_starting_instance_counts_by_the_previous_list() {
    let engine = engine();

    engine.membership().set_contacts(vec![entry("own")]);
    assert_eq!(
        granted_claims(&engine, 1).await,
        0,
        "it may be the only instance that has registered so far"
    );
    tokio::time::sleep(UNANSWERED_BACKOFF).await;
    let owners = ["own", "other"].map(entry);
    engine.membership().set_contacts(owners.into());
    let first = engine.membership().limit_owners(&account(), 1);

    let granted = granted_claims(&engine, 1).await;
    assert_eq!(granted == 1, first[0].instance == engine.identity().name);
}

/// Later claims of the account must not wait for the timeout that an earlier one has just reached.
#[tokio::test]
async fn an_account_without_a_responding_owner_is_refused_at_once_for_a_while() {
    let engine = engine();
    assert_eq!(granted_claims(&engine, 1).await, 0);
    let began_at = std::time::Instant::now();

    assert_eq!(granted_claims(&engine, 5).await, 0);

    assert!(began_at.elapsed() < Duration::from_millis(200), "{:?}", began_at.elapsed());
}

/// A new version of the settings must not give an account a new burst.
#[tokio::test]
async fn a_new_version_of_the_settings_refills_no_bucket() {
    let engine = engine();
    set_instance_list(&engine, &["own"]);
    let first = granted_claims(&engine, 9).await;

    for version in 2..50 {
        engine.apply_settings(settings(version, 3));
    }

    assert_eq!((first, granted_claims(&engine, 9).await), (3, 0));
}

/// An instance that may be isolated from all others must not keep counting.
#[tokio::test(start_paused = true)]
async fn an_instance_without_contact_to_the_fleet_counts_for_no_account() {
    let engine = engine();
    set_instance_list(&engine, &["own"]);

    engine.group(&"records".parse().expect("a name")).with_leases(|leases| {
        *leases = crate::lead::LeaseTable::default();
    });

    assert_eq!(granted_claims(&engine, 1).await, 0);
}

/// Revoked keys must not stay valid at an instance without current settings, where the deployment
/// is configured to refuse them there. Elsewhere such an instance must not refuse keys.
#[tokio::test]
async fn keys_are_trusted_without_a_confirmation_only_if_configured() {
    let (database, key) = (DatabaseName("db".to_owned()), KeyDigest::of("key-one"));
    let open = engine_with_key_validity(None);
    let closed = engine_with_key_validity(Some(Duration::from_millis(50)));

    closed.confirm_settings();
    let fresh = closed.access(&database, &key);
    tokio::time::sleep(Duration::from_millis(80)).await;

    assert!(fresh.is_ok());
    assert_eq!(closed.access(&database, &key), Err(StatementError::Busy));
    assert!(open.access(&database, &key).is_ok());
}

mod relay;
