//! Encoded sizes of forwarded statements, from which docs/CAPACITY.md works out the bandwidth.

use crate::forwarding::wire::{
    HolderFrame, OriginFrame, WireBody, WireEffect, WireKind, WireOutcome, WireReply, WireRequest,
    WireRoute, WireState,
};
use rudder_core::LogStamp;
use std::time::Duration;

/// Length of a message in front of it, in bytes.
const LENGTH_FIELD: usize = 4;

/// Returns the size of a message with its length field.
fn size(message: &impl serde::Serialize) -> usize {
    LENGTH_FIELD + postcard::to_stdvec(message).expect("a message is written").len()
}

/// Returns a bounded read of 64 bytes without session values.
fn read() -> WireRequest {
    WireRequest {
        // Numbers grow with the requests of a connection and are encoded in as few bytes as possible.
        request_id: 1_000_000,
        id: "006d2196ffb01626".to_owned(),
        body: WireBody::Text("x".repeat(64)),
        effect: WireEffect::Read,
        prepared: None,
        values: Vec::new(),
        route: WireRoute {
            database: "service-0780-browse".to_owned(),
            service: "service-0780".parse().expect("a name"),
            kind: WireKind::Bounded(Duration::from_millis(1_500)),
            statement_timeout: Duration::from_millis(3_000),
            latency_target: Duration::from_millis(600),
            priority: Some(1),
            is_public: false,
        },
        account: Some("account-0017".parse().expect("a name")),
        floor: Some(LogStamp::new(3, 120_000)),
        wait: Duration::from_micros(499_900),
        time: Duration::from_micros(2_999_900),
    }
}

/// A larger message would carry more between domains than the figures of the page say.
#[test]
fn sizes_of_a_forwarded_read_are_as_documented() {
    let reply = WireReply {
        rows: vec!["x".repeat(64)],
        outcome: WireOutcome::Done("1 row".to_owned()),
        state: WireState::Idle,
        position: Some(LogStamp::new(3, 120_000)),
    };

    let request_bytes = size(&OriginFrame::Statement(read()));
    let reply_bytes = size(&HolderFrame::Reply { request_id: 1_000_000, reply });
    let ping_bytes = size(&OriginFrame::Ping);

    assert_eq!((request_bytes, reply_bytes, ping_bytes), (176, 87, 5));
}
