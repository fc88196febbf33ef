//! Settings that arrive from several sources concurrently.

use super::fixture::{RecordStore, WriteOutcome, engine, first_record};
use crate::settings::{FleetSettings, SettingsVersion};
use std::sync::Arc;
use std::time::Duration;

/// Number of threads that apply settings.
const THREADS: u64 = 4;
/// Number of versions that each thread applies.
const VERSIONS: u64 = 2000;

fn settings(version: u64) -> FleetSettings {
    let version = SettingsVersion(version);
    FleetSettings::sorted(version, Vec::new(), Vec::new(), Duration::from_secs(3))
}

#[test]
fn the_newest_settings_stay_under_concurrent_updates() {
    // The version of the store and a copy of a peer arrive on two threads. If each compares
    // versions before either applies its own, the older one can be applied last, and a removed
    // route is served again.
    let engine = engine(&RecordStore::new(&first_record(), &[WriteOutcome::Refused]), None);

    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let engine = Arc::clone(&engine);
            scope.spawn(move || {
                for step in 0..VERSIONS {
                    let version = step * THREADS + thread + 1;
                    engine.apply_settings(settings(version));
                    let known = engine.settings_version().expect("a version is in force");
                    assert!(known >= SettingsVersion(version), "{known} after {version}");
                }
            });
        }
    });

    assert_eq!(engine.settings_version(), Some(SettingsVersion(THREADS * VERSIONS)));
}
