//! Contents and size of copies between instances.

use crate::peers::FleetCopy;
use crate::peers::fleet_copy::{decode_copy, encode_copy};
use crate::settings::{DatabaseName, FleetSettings, RouteKind, RouteRule, SettingsVersion};
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
