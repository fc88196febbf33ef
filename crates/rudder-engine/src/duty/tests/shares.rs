//! Updates of the connection shares.

use super::fixture::{FakeMembers, RecordStore, WriteOutcome, engine, first_record};
use crate::clock::boot_time;
use crate::duty::keeper::ShareUpdater;
use crate::engine::ProxyEngine;
use crate::peers::PeerEntry;
use crate::settings::{FleetSettings, ServiceRule, SettingsVersion};
use rudder_decisions::ConnectionShare;
use std::sync::Arc;
use std::time::Duration;

/// Connections that a member accepts; four of them are reserved.
const CONNECTIONS: u32 = 28;

fn entry(name: &str) -> PeerEntry {
    PeerEntry {
        instance: name.parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        address: ([127, 0, 0, 1], 9).into(),
        marked: false,
        capacity: None,
    }
}

/// Returns an instance before a service with members.
fn instance() -> Arc<ProxyEngine> {
    let members = FakeMembers::new(&[("a", 1), ("b", 1), ("c", 1)]);
    let store = RecordStore::new(&first_record(), &[WriteOutcome::Refused]);
    let engine = engine(&store, Some(Arc::clone(&members)));
    let rule = ServiceRule {
        service: "records".parse().expect("a name"),
        connections_max: CONNECTIONS,
        sync_replicas: 0,
    };
    let idle = Duration::from_secs(3);
    engine.apply_settings(FleetSettings::sorted(SettingsVersion(1), Vec::new(), vec![rule], idle));
    engine.apply_members(&members.entries(), 1);
    engine
}

fn share(engine: &ProxyEngine) -> u32 {
    let group = engine.group(&"records".parse().expect("a name"));
    group.member(&"b".parse().expect("a name")).expect("a member").pool().max_connections()
}

/// Worked out anew in each pass, the shares in three thousand members of a thousand instances would
/// take more time than all statements.
#[tokio::test]
async fn shares_are_worked_out_only_when_their_inputs_change() {
    let engine = instance();
    let mut updater = ShareUpdater::default();
    updater.update(&engine, &engine.groups());
    let alone = share(&engine);
    let group = engine.group(&"records".parse().expect("a name"));
    let member = group.member(&"b".parse().expect("a name")).expect("a member");
    member.pool().set_share(ConnectionShare(5), false);

    updater.update(&engine, &engine.groups());
    let unchanged = share(&engine);
    engine.membership().set_entries(vec![entry("other"), entry("own")], boot_time());
    updater.update(&engine, &engine.groups());

    assert_eq!((alone, unchanged, share(&engine)), (24, 5, 12));
}

/// A share that was not worked out for a new member would stay at one connection.
#[tokio::test]
async fn new_members_get_their_share() {
    let engine = instance();
    let mut updater = ShareUpdater::default();
    updater.update(&engine, &engine.groups());

    let replaced = FakeMembers::new(&[("b", 1), ("d", 1)]).entries().into_iter();
    let replaced = replaced.map(|mut entry| {
        entry.started_at_ms += 1;
        entry
    });
    engine.apply_members(&replaced.collect::<Vec<_>>(), 2);
    let before = share(&engine);
    updater.update(&engine, &engine.groups());

    assert_eq!((before, share(&engine)), (1, 24));
}
