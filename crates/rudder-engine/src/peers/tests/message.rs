//! Sizes of messages between instances.

use crate::peers::list_change::ListDigest;
use crate::peers::message::CopyResponse;
use crate::peers::{
    ClaimOutcome, ClaimResponse, CopyVersion, LoanRecall, LoanRequest, LoanTarget, OperationClaim,
    PeerHeartbeat, PeerMessage, QueueClaim, QueuedClaim, QueuedOutcome, RecordException,
    RecordSample, RecordTiming, RecordsDigest, RecordsSummary, RequestOffset, SampleCopy,
    SpareConnections, SpareCount,
};
use rudder_core::LogStamp;
use std::time::Duration;

/// Maximum size of a datagram.
const DATAGRAM_MAX: usize = 16_384;

fn offset(ms: u64) -> Option<RequestOffset> {
    RequestOffset::of(Duration::from_millis(100_000 + ms), Duration::from_millis(100_000))
}

/// Returns a response to an instance that knows the records of `services` services, with times of
/// their own for `exceptions` of them and samples of `samples` primaries.
fn response(services: u32, exceptions: u32, samples: u32) -> PeerMessage {
    let sample = SampleCopy { stamp: LogStamp::new(3, 120_000), sent: offset(400) };
    let timing = RecordTiming { confirmed: offset(450), valid_from: offset(450) };
    let exception = |index| RecordException { index, timing };
    let sampled = |index| RecordSample { index, sample };
    PeerMessage::RecordsSummary(Box::new(RecordsSummary {
        instance: "frontend-johannesburg-a-17".parse().expect("a name"),
        request_id: u64::MAX,
        listed: offset(0),
        read: offset(450),
        complete: offset(450),
        version: CopyVersion::default(),
        current: offset(300),
        entries: ListDigest::default(),
        entries_read: offset(0),
        confirms: true,
        digest: RecordsDigest::default(),
        count: services,
        common: timing,
        exceptions: (0..exceptions).map(exception).collect(),
        samples: (0..samples).map(sampled).collect(),
        records: None,
    }))
}

fn size(message: &PeerMessage) -> usize {
    postcard::to_stdvec(message).expect("a message is written").len()
}

/// Responses with records must not fill the links of a large fleet.
#[test]
fn a_response_for_twenty_services_is_short() {
    let bytes = size(&response(20, 2, 20));

    assert!(bytes < 400, "{bytes}");
}

/// If the response exceeded a datagram, the fleet would receive no records.
#[test]
fn a_response_for_all_planned_services_fits_a_datagram() {
    let bytes = size(&response(780, 64, 50));

    assert!(bytes < DATAGRAM_MAX, "{bytes}");
}

/// Each instance receives two such responses a second from the reader of its failure domain.
#[test]
fn a_response_does_not_grow_with_the_number_of_services() {
    let sizes = [200, 1000, 2000, 16_000].map(|services| size(&response(services, 0, 0)));

    assert!(sizes.iter().all(|bytes| *bytes == sizes[0] && *bytes < 128), "{sizes:?}");
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

fn queue_claim() -> PeerMessage {
    PeerMessage::QueueClaim(QueueClaim {
        request_id: 1 << 20,
        account: "an-account-with-a-long-name".parse().expect("a name"),
        priority: Some(1),
        wait_ms: 750,
        deadline_ms: 2500,
        refused_before: true,
        reservation: Some(u64::MAX),
    })
}

/// A claim is sent for each operation, so its size decides the traffic between domains.
#[test]
fn a_claim_with_a_queue_is_short() {
    let bytes = size(&queue_claim());

    assert!(bytes < 60, "{bytes}");
}

/// A truncated claim must not be read as one with other terms.
#[test]
fn a_truncated_claim_is_an_error() {
    let bytes = postcard::to_stdvec(&queue_claim()).expect("a message is written");

    for length in 0..bytes.len() {
        assert!(postcard::from_bytes::<PeerMessage>(&bytes[..length]).is_err(), "{length}");
    }
}

/// An older build drops unknown datagrams, but would take a message for another one if the numbers
/// of the variants changed.
#[test]
fn messages_about_loans_come_after_those_that_older_builds_know() {
    let loan = LoanTarget {
        request_id: 1,
        service: "records".parse().expect("a name"),
        member: "db-1".parse().expect("a name"),
    };
    let number = |message: &PeerMessage| postcard::to_stdvec(message).expect("a message")[0];

    let known = number(&PeerMessage::Copy(CopyResponse { request_id: 1, copy: None }));
    let report = number(&PeerMessage::SpareConnections(SpareConnections { counts: Vec::new() }));
    let recall = number(&PeerMessage::LoanRecall(LoanRecall { loan }));

    assert!(known < report && recall == report + 4, "{known} {report} {recall}");
}

/// Reports are sent to seven instances each second.
#[test]
fn a_report_for_all_members_is_short() {
    let counts = vec![SpareCount { member: u32::MAX, spare: 1 }; 24];

    let bytes = size(&PeerMessage::SpareConnections(SpareConnections { counts }));

    assert!(bytes < 150, "{bytes}");
}

/// The bandwidth of claims and loans in docs/CAPACITY.md is worked out from these sizes.
#[test]
fn sizes_of_claims_and_loans_are_as_documented() {
    let account = "account-0017".parse().expect("a name");
    let claim = OperationClaim { request_id: u64::MAX, account, counts: true };
    let outcome = ClaimOutcome::Spent { after_ms: 1_000 };
    let response = ClaimResponse { request_id: u64::MAX, outcome };
    let loan = LoanTarget {
        request_id: u64::MAX,
        service: "service-0780".parse().expect("a name"),
        member: "service-0780-2".parse().expect("a name"),
    };
    let request = LoanRequest { loan, renewal: 1, count: 2, priority: 0 };
    let report = |members| {
        let counts = vec![SpareCount { member: u32::MAX, spare: 1 }; members];
        size(&PeerMessage::SpareConnections(SpareConnections { counts }))
    };

    let claim_bytes = size(&PeerMessage::Claim(claim));
    let response_bytes = size(&PeerMessage::ClaimResponse(response));
    let request_bytes = size(&PeerMessage::LoanRequest(request));

    assert_eq!((claim_bytes, response_bytes, request_bytes), (25, 14, 42));
    assert_eq!((report(24), report(2340)), (146, 14_043));
}

/// Each operation of a limited account costs these bytes; docs/CAPACITY.md works out their sum.
#[test]
fn sizes_of_queued_claims_are_as_documented() {
    let claim = |reservation: Option<u64>| {
        size(&PeerMessage::QueueClaim(QueueClaim {
            request_id: u64::MAX,
            account: "account-0017".parse().expect("a name"),
            priority: Some(1),
            wait_ms: 300,
            deadline_ms: 3_000,
            refused_before: reservation.is_some(),
            reservation,
        }))
    };
    let response =
        |outcome| size(&PeerMessage::QueuedClaim(QueuedClaim { request_id: u64::MAX, outcome }));

    let claim_bytes = (claim(None), claim(Some(u64::MAX)));
    let granted_bytes = response(QueuedOutcome::Granted { grant: u64::MAX });
    let queued_bytes = response(QueuedOutcome::Queued { within_ms: 300 });

    assert_eq!(claim_bytes, (32, 42));
    assert_eq!((granted_bytes, queued_bytes), (22, 14));
}
