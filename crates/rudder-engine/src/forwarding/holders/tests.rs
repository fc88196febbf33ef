//! Which statements are forwarded, and to whom.

use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::fixtures::{
    RejectingPromotion, UnavailableStore, UnreachableDialer, identity, member_entry,
};
use crate::identity::{EngineDependencies, InstanceIdentity};
use crate::peers::PeerEntry;
use crate::settings::{AccountRule, AccountTable, FleetSettings, ServiceRule, SettingsVersion};
use rudder_core::{AccountName, ServiceName};
use rudder_decisions::{HOLDERS_MAX, InstanceCapacity};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn service() -> ServiceName {
    "records".parse().expect("a name")
}

fn account(number: usize) -> AccountName {
    format!("account-{number}").parse().expect("a name")
}

/// Returns the settings with a number of accounts, or without accounts.
fn settings(version: u64, accounts: Option<usize>) -> FleetSettings {
    let services = vec![ServiceRule { service: service(), connections_max: 30, sync_replicas: 0 }];
    let idle = Duration::from_secs(3);
    let settings = FleetSettings::sorted(SettingsVersion(version), Vec::new(), services, idle);
    let rule = |number| AccountRule { name: account(number), keys: Vec::new(), limit: None };
    match accounts {
        Some(count) => {
            let table = AccountTable::sorted((0..count).map(rule).collect());
            settings.with_accounts(table.expect("distinct accounts"))
        }
        None => settings,
    }
}

fn entry(number: u16, domain: &str) -> PeerEntry {
    PeerEntry {
        instance: format!("entry-{number}").parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        address: ([127, 0, 0, 1], number).into(),
        marked: false,
        capacity: Some(InstanceCapacity(250)),
    }
}

/// Returns an instance that knows the member `a` in `north`, with the given settings.
fn engine(settings: FleetSettings) -> Arc<ProxyEngine> {
    let dependencies = EngineDependencies {
        dialer: Arc::new(UnreachableDialer),
        promotion: Arc::new(RejectingPromotion),
        store: Arc::new(UnavailableStore),
    };
    let region = |name: &str| (name.parse().expect("a name"), "region".to_owned());
    let regions = vec![region("north"), region("south")];
    let identity = InstanceIdentity { regions, ..identity("entry-1") };
    let engine = ProxyEngine::new(identity, dependencies);
    engine.apply_members(&[member_entry("a")], 1);
    engine.apply_settings(settings);
    engine
}

/// Sets a list of instances, of which those with odd numbers are in the member's domain.
fn set_list(engine: &ProxyEngine, numbers: std::ops::Range<u16>) {
    let domain = |number: u16| if number % 2 == 1 { "north" } else { "south" };
    let entries = numbers.map(|number| entry(number, domain(number))).collect();
    engine.membership().set_entries(entries, boot_time());
}

fn holders(engine: &ProxyEngine, number: usize) -> super::MemberHolders {
    let member = engine.group(&service()).member(&"a".parse().expect("a name")).expect("a member");
    engine.member_holders(&service(), &account(number), &member)
}

#[test]
fn nothing_is_forwarded_without_accounts_or_with_ample_connections() {
    // Older deployments must behave as before.
    for (accounts, instances) in [(None, 90), (Some(3), 10)] {
        let engine = engine(settings(1, accounts));
        set_list(&engine, 1..instances + 1);

        let holders = holders(&engine, 0);

        assert!(!holders.is_needed);
        assert!(holders.holders.names.is_empty());
    }
}

#[test]
fn holders_have_addresses_and_are_near_the_member() {
    let engine = engine(settings(1, Some(20)));
    set_list(&engine, 1..21);

    let holders = holders(&engine, 0);

    assert!(holders.is_needed && !holders.pool.is_warm);
    assert_eq!(holders.holders.names.len(), HOLDERS_MAX);
    for name in &holders.holders.names {
        let address = holders.holders.address(name).expect("a listed instance");
        assert_eq!(format!("entry-{}", address.port()), name.as_str());
        assert_eq!(address.port() % 2, 1, "{name} is in another domain");
    }
}

#[test]
fn a_removed_instance_holds_nothing_and_is_forgotten() {
    // Statements would be sent to it for as long as an earlier order is kept.
    let engine = engine(settings(1, Some(20)));
    set_list(&engine, 1..21);
    let before = holders(&engine, 0).holders;
    let lost = before.names[0].clone();
    engine.holders().board().record_unreachable(&lost, Instant::now());

    let mut rest = engine.membership().entries().0;
    rest.retain(|entry| entry.instance != lost);
    engine.membership().set_entries(rest, boot_time());
    let after = holders(&engine, 0).holders;

    assert_eq!(after.names[..HOLDERS_MAX - 1], before.names[1..]);
    assert!(engine.holders().board().try_use(&lost, &account(0), Instant::now()));
}

#[test]
fn a_change_of_the_settings_ends_forwarding() {
    // Accounts may be taken out of the settings of a running fleet.
    let engine = engine(settings(1, Some(20)));
    set_list(&engine, 1..21);
    assert!(holders(&engine, 0).is_needed);

    engine.apply_settings(settings(2, Some(1)));

    assert!(!holders(&engine, 0).is_needed);
}

#[test]
fn a_service_without_settings_is_not_forwarded() {
    let engine = engine(settings(1, Some(20)));
    set_list(&engine, 1..21);
    let group = engine.group(&service());
    let member = group.member(&"a".parse().expect("a name")).expect("a member");

    let unknown = "unknown".parse().expect("a name");

    assert!(!engine.member_holders(&unknown, &account(0), &member).is_needed);
}

#[test]
fn capacities_set_the_order_also_if_nothing_else_of_the_list_changes() {
    // An instance restarts on a larger machine within the time between two reads of the list.
    let engine = engine(settings(1, Some(20)));
    set_list(&engine, 1..21);
    let last = holders(&engine, 0).holders.names[HOLDERS_MAX - 1].clone();

    let mut entries = engine.membership().entries().0;
    for entry in &mut entries {
        entry.capacity = (entry.instance == last).then_some(InstanceCapacity(100_000));
    }
    engine.membership().set_entries(entries, boot_time());

    assert_eq!(holders(&engine, 0).holders.names[0], last);
}
