//! Contents and size of copies between instances.

use crate::peers::fleet_copy::{decode_copy, encode_copy};
use crate::peers::{CopiedList, EntriesCopy, FleetCopy, ListDigest, PeerEntry};
use crate::settings::{DatabaseName, FleetSettings, RouteKind, RouteRule, SettingsVersion};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use rudder_core::InstanceName;
use rudder_decisions::InstanceCapacity;
use std::io::{Read as _, Write as _};
use std::time::Duration;

/// Maximum size for a thousand databases; most of it are random names.
const BYTES_MAX: usize = 16_000;

fn route(number: u64) -> RouteRule {
    RouteRule {
        database: DatabaseName(format!("db{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))),
        service: format!("records-{}", number % 8).parse().expect("a name"),
        kind: RouteKind::Bounded(Duration::from_millis(1500)),
        statement_timeout: Duration::from_millis(2000),
        latency_target: Duration::from_millis(800),
        priority: 2,
        is_public: false,
    }
}

fn copy(routes: u64) -> FleetCopy {
    let routes = (0..routes).map(route).collect();
    let idle = Duration::from_secs(3);
    let settings = FleetSettings::sorted(SettingsVersion(4), routes, Vec::new(), idle);
    FleetCopy { settings: Some(settings), ..FleetCopy::default() }
}

#[test]
fn a_copy_round_trips() {
    let copy = copy(100);

    let bytes = encode_copy(&copy).expect("it can be written");

    assert_eq!(decode_copy(&bytes).expect("it can be read"), copy);
}

/// A change of settings must not fill the links of a failure domain.
#[test]
fn a_copy_of_a_thousand_databases_is_small() {
    let bytes = encode_copy(&copy(1000)).expect("it can be written");

    assert!(bytes.len() <= BYTES_MAX, "{} bytes", bytes.len());
}

/// Bytes from a peer must not fill the memory or end the process.
#[test]
fn malformed_bytes_are_an_error() {
    for bytes in [&b""[..], b"GET / HTTP/1.1\r\n", &[0xff; 4096]] {
        assert!(decode_copy(bytes).is_err());
    }
}

fn entry(number: u32) -> PeerEntry {
    PeerEntry {
        instance: format!("entry-{number}").parse().expect("a name"),
        domain: "north".parse().expect("a name"),
        address: ([127, 0, 0, 1], 9).into(),
        marked: false,
        capacity: number.is_multiple_of(2).then_some(InstanceCapacity(number + 100)),
    }
}

fn copy_of_entries(list: CopiedList<PeerEntry, InstanceName>) -> FleetCopy {
    FleetCopy { entries: Some(EntriesCopy { list, read: None }), ..copy(3) }
}

/// All instances must rank the holders of connections by the same capacities.
#[test]
fn capacities_are_part_of_a_copy() {
    let (base, put) = (ListDigest::default(), vec![entry(4), entry(5), entry(6)]);
    for list in [
        CopiedList::Whole(vec![entry(1), entry(2)]),
        CopiedList::Change { base, put, removed: Vec::new() },
    ] {
        let copy = copy_of_entries(list);

        let bytes = encode_copy(&copy).expect("it can be written");

        assert_eq!(decode_copy(&bytes).expect("it can be read"), copy);
    }
}

/// An older build decodes a copy without capacities and ignores what follows; it computes the same
/// digest of the list, or it would fetch the list again and again.
#[test]
fn an_older_build_reads_a_copy_with_capacities() {
    let with = copy_of_entries(CopiedList::Whole(vec![entry(2), entry(4)]));
    let without = |number| PeerEntry { capacity: None, ..entry(number) };
    let expected = copy_of_entries(CopiedList::Whole(vec![without(2), without(4)]));

    let bytes = encode_copy(&with).expect("it can be written");
    let mut plain = Vec::new();
    DeflateDecoder::new(&bytes[..]).read_to_end(&mut plain).expect("it can be inflated");

    assert_eq!(postcard::from_bytes::<FleetCopy>(&plain).expect("it can be read"), expected);
    let entries = |copies: [PeerEntry; 2]| ListDigest::of(&copies);
    assert_eq!(entries([entry(2), entry(4)]), entries([without(2), without(4)]));
}

/// A copy of an older build lacks capacities.
#[test]
fn a_copy_of_an_older_build_is_read() {
    let copy = copy_of_entries(CopiedList::Whole(vec![entry(1), entry(3)]));

    let bytes = encode_copy(&copy).expect("it can be written");

    assert_eq!(decode_copy(&bytes).expect("it can be read"), copy);
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&postcard::to_stdvec(&copy).expect("it can be written")).expect("memory");
    assert_eq!(bytes, encoder.finish().expect("memory"), "nothing is appended");
}

/// A copy that was cut off after its end must not change what it says.
#[test]
fn truncated_capacities_are_an_error() {
    let copy = copy_of_entries(CopiedList::Whole(vec![entry(2), entry(4)]));
    let bytes = encode_copy(&copy).expect("it can be written");
    let mut plain = Vec::new();
    DeflateDecoder::new(&bytes[..]).read_to_end(&mut plain).expect("it can be inflated");
    plain.pop();
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain).expect("memory");

    assert!(decode_copy(&encoder.finish().expect("memory")).is_err());
}
