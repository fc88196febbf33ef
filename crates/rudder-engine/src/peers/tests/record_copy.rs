//! Copies of all records.

use crate::lead::{LeadPhase, LeadRecord, LeaderEpoch};
use crate::peers::RecordCopy;
use crate::peers::record_copy::{decode_records, encode_records};
use rudder_core::LogTerm;

/// Maximum size for the records of a thousand services; most of it are random marks.
const BYTES_MAX: usize = 50_000;

fn record(number: u64) -> RecordCopy {
    let phase = LeadPhase::Settled {
        primary: format!("i-{:016x}", number.wrapping_mul(0x9e37_79b9)).parse().expect("a name"),
        term: LogTerm(1),
        base: None,
    };
    let mark = format!("{:032x}", u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c));
    let record = LeadRecord { epoch: LeaderEpoch(1), mark, phase, orders: Vec::new() };
    RecordCopy { service: format!("scores-{number}").parse().expect("a name"), record }
}

#[test]
fn records_round_trip() {
    let records: Vec<_> = (0..1000).map(record).collect();

    let bytes = encode_records(&records).expect("they can be written");

    assert_eq!(decode_records(&bytes).expect("they can be read"), records);
    assert!(bytes.len() <= BYTES_MAX, "{} bytes", bytes.len());
}

/// Bytes from a peer must not fill the memory or end the process.
#[test]
fn malformed_records_are_an_error() {
    let bytes = encode_records(&[record(1), record(2)]).expect("they can be written");

    for malformed in [&b""[..], b"GET / HTTP/1.1\r\n", &[0xff; 4096], &bytes[..bytes.len() / 2]] {
        assert!(decode_records(malformed).is_err());
    }
}
