//! Members that left a service with synchronous replicas, and the record of those that may hold
//! commits.

use super::fixture::{FakeMembers, RecordStore, WriteOutcome, engine, first_record, stamp};
use crate::clock::boot_time;
use crate::duty::holders::{StoredCopy, check_holders};
use crate::engine::ProxyEngine;
use crate::group::ServiceGroup;
use crate::lead::LeaderEpoch;
use crate::settings::{FleetSettings, ServiceRule, SettingsVersion};
use rudder_core::ServiceName;
use std::sync::Arc;
use std::time::Duration;

fn service() -> ServiceName {
    "records".parse().expect("a name")
}

/// Service with one synchronous replica, followed by an instance without peers.
struct FollowedService {
    store: Arc<RecordStore>,
    members: Arc<FakeMembers>,
    engine: Arc<ProxyEngine>,
    group: Arc<ServiceGroup>,
    copy: Option<StoredCopy>,
}

impl FollowedService {
    fn new() -> Self {
        let store = RecordStore::new(&first_record(), &[WriteOutcome::Done]);
        Self::start(store, &["a", "b", "c"])
    }

    /// Starts an instance when the list has these members; others are down.
    fn start(store: Arc<RecordStore>, listed: &[&str]) -> Self {
        let members = FakeMembers::new(&[("a", 100), ("b", 90), ("c", 90)]);
        let is_listed = |name: &str| listed.contains(&name);
        ["a", "b", "c"].iter().for_each(|name| members.set_down(name, !is_listed(name)));
        let mut entries = members.ready_entries();
        entries.retain(|entry| is_listed(entry.target.member.as_str()));
        let engine = engine(&store, Some(Arc::clone(&members)));
        let rule = ServiceRule { service: service(), connections_max: 30, sync_replicas: 1 };
        let idle = Duration::from_secs(3);
        let settings = FleetSettings::sorted(SettingsVersion(1), Vec::new(), vec![rule], idle);
        engine.apply_settings(settings);
        engine.set_registered(Some(boot_time()));
        engine.record_store_read(&[service()], boot_time());
        engine.apply_members(&entries, 1);
        engine.observe_record(&service(), &store.record(), boot_time());
        let group = engine.group(&service());
        Self { store, members, engine, group, copy: None }
    }

    async fn check(&mut self) {
        self.copy = check_holders(&self.engine, &self.group, self.copy.take()).await;
    }

    /// Removes the entry of the member `c`.
    fn remove_entry(&self) {
        self.engine.apply_members(&self.members.ready_entries()[..2], 2);
    }

    /// Records that the primary is at this position now.
    fn sample(&self, position: u64) {
        let now = boot_time();
        let lease = self.group.with_leases(|leases| leases.lease(now)).expect("a lease");
        self.group.record_position(&lease, now, stamp(1, position));
    }

    fn holders(&self) -> Vec<String> {
        let holders = self.store.history().holders;
        holders.iter().map(|holder| holder.member.to_string()).collect()
    }
}

#[tokio::test]
async fn the_record_names_the_members_that_may_hold_commits() {
    let mut service = FollowedService::new();

    service.check().await;
    let writes = service.store.write_count();
    service.check().await;

    assert_eq!(service.holders(), ["a", "b", "c"]);
    assert_eq!(service.store.record(), first_record());
    assert_eq!((writes, service.store.write_count()), (1, 1));
}

/// Guards against a replica that is only cut from the store, and is taken for one that has ended.
#[tokio::test]
async fn a_member_that_still_responds_is_not_released() {
    let mut service = FollowedService::new();
    service.members.set_deaf(&["c"]);
    service.remove_entry();

    for _ in 0..4 {
        service.check().await;
        service.sample(80);
    }

    assert_eq!(service.holders(), ["a", "b", "c"]);
}

/// Guards against the release of a member before another one has received all that it may hold.
#[tokio::test]
async fn a_lost_member_is_released_once_another_one_has_its_commits() {
    let mut service = FollowedService::new();
    service.check().await;
    service.members.set_deaf(&["b"]);
    service.members.set_down("c", true);
    service.remove_entry();
    for _ in 0..3 {
        service.check().await;
    }
    service.sample(95);
    service.check().await;
    let while_deaf = service.holders();
    service.members.set_deaf(&[]);
    for _ in 0..8 {
        service.check().await;
    }

    assert_eq!(while_deaf, ["a", "b", "c"]);
    assert_eq!(service.holders(), ["a", "b"]);
    assert_eq!(service.store.record().epoch, LeaderEpoch(1));
}

/// Guards against a lost member that is forgotten in a restart, or never released after it.
#[tokio::test]
async fn a_member_lost_before_a_restart_is_released() {
    let mut before = FollowedService::new();
    before.check().await;
    let mut service = FollowedService::start(before.store, &["a", "b"]);

    for _ in 0..3 {
        service.check().await;
    }
    let unsampled = service.holders();
    service.sample(85);
    service.check().await;

    assert_eq!(unsampled, ["a", "b", "c"]);
    assert_eq!(service.holders(), ["a", "b"]);
}
