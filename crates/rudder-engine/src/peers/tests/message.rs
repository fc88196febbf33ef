//! Sizes of messages between instances.

use crate::peers::list_change::ListDigest;
use crate::peers::{
    CopyVersion, PeerHeartbeat, PeerMessage, RecordTiming, RecordsDigest, RecordsResponse,
    RequestOffset, SampleCopy,
};
use rudder_core::LogStamp;
use std::time::Duration;

/// Maximum size of a datagram.
const DATAGRAM_MAX: usize = 16_384;

fn offset(ms: u64) -> Option<RequestOffset> {
    RequestOffset::of(Duration::from_millis(100_000 + ms), Duration::from_millis(100_000))
}

/// Returns a response to an instance that knows the records of `services` services.
fn response(services: usize) -> PeerMessage {
    let sample = SampleCopy { stamp: LogStamp::new(3, 120_000), sent: offset(400) };
    let timing =
        RecordTiming { confirmed: offset(450), valid_from: offset(450), sample: Some(sample) };
    PeerMessage::Records(RecordsResponse {
        instance: "frontend-johannesburg-a-17".parse().expect("a name"),
        request_id: u64::MAX,
        listed: offset(0),
        read: offset(450),
        version: CopyVersion::default(),
        current: offset(300),
        entries: ListDigest::default(),
        entries_read: offset(0),
        confirms: true,
        digest: RecordsDigest::default(),
        timings: vec![timing; services],
        records: None,
    })
}

fn size(message: &PeerMessage) -> usize {
    postcard::to_stdvec(message).expect("a message is written").len()
}

/// Responses with records must not fill the links of a large fleet.
#[test]
fn a_response_for_twenty_services_is_short() {
    let bytes = size(&response(20));

    assert!(bytes < 400, "{bytes}");
}

/// If the response exceeded a datagram, the fleet would receive no records.
#[test]
fn a_response_for_all_planned_services_fits_a_datagram() {
    let bytes = size(&response(780));

    assert!(bytes < DATAGRAM_MAX, "{bytes}");
}

#[test]
fn a_heartbeat_is_short() {
    let heartbeat = PeerHeartbeat {
        instance: "frontend-johannesburg-a-17".parse().expect("a name"),
        process: u64::MAX,
        domain: "johannesburg-a".parse().expect("a name"),
        version: CopyVersion::default(),
        store_unreachable: false,
        leaving: false,
        suspicions: Vec::new(),
    };

    let bytes = size(&PeerMessage::Heartbeat(heartbeat));

    assert!(bytes < 100, "{bytes}");
}
