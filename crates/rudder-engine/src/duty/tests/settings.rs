//! Settings that arrive from several sides.

use super::fixture::{RecordStore, WriteOutcome, engine, first_record};
use crate::settings::{FleetSettings, SettingsVersion};
use std::sync::Arc;
use std::time::Duration;

/// Threads that apply settings, and versions that each applies.
const THREADS: u64 = 4;
const VERSIONS: u64 = 2000;

fn settings(version: u64) -> FleetSettings {
    let version = SettingsVersion(version);
    FleetSettings::sorted(version, Vec::new(), Vec::new(), Duration::from_secs(3))
}

#[test]
fn the_greatest_version_stays_whoever_brings_it() {
    // A route that was dropped is served again. The store's word and a peer's copy arrive on two
    // threads, each looks which version is in force, and the older one is put in last.
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
