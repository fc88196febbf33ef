//! Tests of the message encoding: round trips, and rejection of malformed and malicious input.

use super::*;
use crate::hints::{
    GroupHint, LeavingNotice, LeavingSubject, MemberSample, PeerHint, RevisionHint, SuspicionVote,
};
use crate::member::{Incarnation, PeerEntry, PeerState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rudder_core::{LogStamp, LogTerm, MemberRole, MemberStatus};
use std::time::Duration;

fn entry(state: PeerState) -> PeerEntry {
    PeerEntry {
        name: "rudder-0570".parse().unwrap(),
        address: ([10, 20, 30, 40], 7400).into(),
        domain: "johannesburg-a".parse().unwrap(),
        incarnation: Incarnation(1_796_000_000_000),
        state,
    }
}

fn hints() -> Vec<PeerHint> {
    let stamp = LogStamp::new(7, 1_000_000_000);
    let status = MemberStatus {
        role: MemberRole::Primary,
        accepted: LogTerm(7),
        received: stamp,
        applied: stamp,
    };
    let (service, member) = ("scores-db-780", "scores-db-780-b");
    vec![
        PeerHint::Group(GroupHint {
            service: service.parse().unwrap(),
            term: LogTerm(7),
            primary: member.parse().unwrap(),
            stamp,
            age: Some(Duration::from_millis(120)),
        }),
        PeerHint::Sample(MemberSample {
            service: service.parse().unwrap(),
            member: member.parse().unwrap(),
            status,
            age: Some(Duration::from_millis(120)),
        }),
        PeerHint::Vote(SuspicionVote {
            service: service.parse().unwrap(),
            member: member.parse().unwrap(),
            observer: "rudder-0570".parse().unwrap(),
            domain: "johannesburg-a".parse().unwrap(),
            term: LogTerm(7),
            number: 3,
            suspected: true,
        }),
        PeerHint::Leaving(LeavingNotice {
            subject: LeavingSubject::Member(service.parse().unwrap(), member.parse().unwrap()),
        }),
        PeerHint::Leaving(LeavingNotice {
            subject: LeavingSubject::Instance("rudder-0001".parse().unwrap()),
        }),
        PeerHint::Revision(RevisionHint { number: 410 }),
    ]
}

fn datagram() -> PeerDatagram {
    PeerDatagram {
        sender: entry(PeerState::Live),
        digest: 0xdead_beef,
        groups: 17,
        revision: 410,
        body: DatagramBody::Probe { sequence: 9, target: Some("rudder-0001".parse().unwrap()) },
        updates: vec![entry(PeerState::Removed), entry(PeerState::Leaving)],
        hints: hints(),
    }
}

#[test]
fn datagram_round_trips() {
    let written = datagram();

    let read = decode_datagram(&encode_datagram(&written).unwrap()).unwrap();

    assert_eq!(read, written);
}

#[test]
fn requests_and_responses_round_trip() {
    let table =
        PeerTableFrame { sender: entry(PeerState::Live), entries: vec![entry(PeerState::Removed)] };
    let token = "v1/anna/scores-db=2:40/survey=1:7".parse().unwrap();
    let request = RequestFrame { number: 5, body: RequestBody::Update(table.clone()) };
    let sender = entry(PeerState::Live).name;
    let responses = [
        ResponseFrame::Table { number: 5, table },
        ResponseFrame::Groups { number: 6, sender, hints: hints() },
        ResponseFrame::Busy { number: 7 },
        ResponseFrame::Reply { number: 8, reply: PeerReply::Session(token) },
    ];

    assert_eq!(decode_request(&encode_request(&request).unwrap()).unwrap(), request);
    for response in responses {
        assert_eq!(decode_response(&encode_response(&response).unwrap()).unwrap(), response);
    }
}

#[test]
fn an_age_is_rounded_up() {
    let hint = PeerHint::Group(GroupHint {
        service: "scores-db".parse().unwrap(),
        term: LogTerm(1),
        primary: "m1".parse().unwrap(),
        stamp: LogStamp::new(1, 1),
        age: Some(Duration::from_micros(1)),
    });
    let written = PeerDatagram { hints: vec![hint], ..datagram() };

    let read = decode_datagram(&encode_datagram(&written).unwrap()).unwrap();

    assert!(
        matches!(&read.hints[0], PeerHint::Group(hint) if hint.age == Some(Duration::from_millis(1)))
    );
}

#[test]
fn later_version_and_trailing_bytes_are_rejected() {
    let mut later = encode_datagram(&datagram()).unwrap();
    later[0] += 1;
    let mut longer = encode_datagram(&datagram()).unwrap();
    longer.push(0);

    assert_eq!(decode_datagram(&later), Err(WireError::Version(2)));
    assert_eq!(decode_datagram(&longer), Err(WireError::Trailing(1)));
    assert_eq!(decode_datagram(&[]), Err(WireError::Empty));
    assert_eq!(decode_datagram(&[1; 2000]), Err(WireError::TooLong(2000)));
}

#[test]
fn truncated_datagram_is_rejected() {
    let whole = encode_datagram(&datagram()).unwrap();

    for length in 0..whole.len() {
        assert!(decode_datagram(&whole[..length]).is_err());
    }
}

#[test]
fn encoded_sizes_match_the_capacity_plan() {
    let sender = entry(PeerState::Live);
    let bare = heartbeat_bytes(&sender, &[], &[]);

    let updates = heartbeat_bytes(&sender, std::slice::from_ref(&sender), &[]) - bare;
    let hints = hints();
    let sizes =
        hints.iter().map(|hint| heartbeat_bytes(&sender, &[], std::slice::from_ref(hint)) - bare);

    assert_eq!((bare, updates), (91, 41));
    assert_eq!(sizes.collect::<Vec<_>>(), [40, 47, 61, 31, 13, 3]);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn random_bytes_never_panic(mut bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        bytes.insert(0, 1);

        let _ = decode_datagram(&bytes);
        let _ = decode_request(&bytes);
        let _ = decode_response(&bytes);
    }

    // A valid message may be corrupted in the memory of a peer or in transit: one byte is wrong.
    #[test]
    fn corrupted_byte_never_panics(place in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = encode_datagram(&datagram()).unwrap();
        let index = place.index(bytes.len());
        bytes[index] = byte;

        let _ = decode_datagram(&bytes);
    }
}
