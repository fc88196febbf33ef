//! Tests of merging settings files and of the example folders.

use proptest::prelude::*;
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

proptest! {
    #[test]
    fn order_of_submission_does_not_matter(files in folders(), seed in any::<u64>()) {
        let mut shuffled = files.clone();
        shuffled.sort_by_key(|file| (file.name.as_str().len() as u64 ^ seed, file.text.len()));
        shuffled.rotate_left(usize::try_from(seed % files.len() as u64).unwrap());

        let merged = merge_folder(&files);
        let again = merge_folder(&shuffled);

        prop_assert_eq!(merged, again);
    }

    #[test]
    fn last_file_that_gives_a_key_wins(files in folders()) {
        let merged = merge_folder(&files).unwrap();

        for value in &merged.values {
            let key = value.key.rsplit('.').next().unwrap();
            let given = files.iter().filter(|file| file.text.contains(&format!("{key} =")));
            let last = given.max_by(|one, other| one.name.cmp(&other.name)).unwrap();
            prop_assert_eq!(&value.place.file, &last.name);
        }
    }
}

/// Generates folders of one to five files with different names, each of which sets some of three
/// durations.
fn folders() -> impl Strategy<Value = Vec<SettingsFile>> {
    let keys = ["read_wait", "ack_timeout", "login_timeout"];
    let given = prop::collection::vec((prop::sample::select(keys.to_vec()), 1_u32..5000), 0..4);
    prop::collection::btree_map(0_u32..100, given, 1..6).prop_map(|files| {
        files.into_iter().map(|(number, given)| timing_file(number, &given)).collect()
    })
}

fn timing_file(number: u32, given: &[(&str, u32)]) -> SettingsFile {
    let mut text = "[timing]\n".to_owned();
    let mut seen = Vec::new();
    for (key, millis) in given {
        if !seen.contains(key) {
            text.push_str(&format!("{key} = \"{millis}ms\"\n"));
            seen.push(key);
        }
    }
    SettingsFile::new(&format!("{number}-timing.toml"), text).expect("the name is allowed")
}
