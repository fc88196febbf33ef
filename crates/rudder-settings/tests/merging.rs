//! Merging of a folder's files, and the example folders.

use rudder_settings::{SettingsFile, merge_folder, read_folder};
use std::path::PathBuf;

fn example_folder(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

#[test]
fn example_folders_pass() {
    for name in ["inanga-scores", "cyflwr-ffyrdd"] {
        let files = read_folder(&example_folder(name)).unwrap();

        let merged = merge_folder(&files).unwrap();

        assert_eq!(merged.fleet.services.len(), 3, "{name}");
        assert!(merged.fleet.services.iter().all(|service| service.members.len() == 3), "{name}");
        assert_eq!(merged.fleet.domains.len(), 3, "{name}");
    }
}

#[test]
fn later_file_wins_key_by_key_and_is_named() {
    let base = SettingsFile::new("10-a.toml", "[domains.d]\nregion = \"r\"\n").unwrap();
    let wait = SettingsFile::new("20-b.toml", "[timing]\nread_wait = \"10ms\"\n").unwrap();
    let later = SettingsFile::new("30-c.toml", "# fix\n[timing]\nread_wait = \"20ms\"\n").unwrap();

    let merged = merge_folder(&[later, wait, base]).unwrap();

    let value = merged.values.iter().find(|value| value.key == "timing.read_wait").unwrap();
    assert_eq!(merged.fleet.timing.read_wait.as_millis(), 20);
    assert_eq!(value.place.to_string(), "30-c.toml:3");
    assert_eq!(merged.fleet.domains[0].region, "r");
}
