//! Probes of owners through relays, and messages about owners that are rejected.

use super::{account, engine, entry};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::peers::{
    ClaimOutcome, ClaimResponse, EVIDENCE_ID, PeerExchange, PeerMessage, ReceivedDatagram,
    RelayProbe, RelayedProbe,
};
use rudder_core::InstanceName;
use rudder_decisions::OwnerState;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time in which a datagram on loopback arrives, or is known not to be sent.
const DATAGRAM_TIMEOUT: Duration = Duration::from_millis(300);

/// An instance that is not the first owner of the account, and sockets of two others.
struct RelayFixture {
    engine: Arc<ProxyEngine>,
    exchange: PeerExchange,
    first: PeerExchange,
    first_name: InstanceName,
    other: PeerExchange,
}

async fn bind() -> PeerExchange {
    PeerExchange::bind(([127, 0, 0, 1], 0).into()).await.expect("a socket")
}

impl RelayFixture {
    async fn new() -> Self {
        let (engine, exchange) = (engine(), bind().await);
        let (first, other) = (bind().await, bind().await);
        engine.set_exchange(exchange.clone());
        let first_name = (0..100)
            .map(|number| format!("first-{number}"))
            .find(|name| {
                let entries = ["own", name, "other"].map(entry).to_vec();
                engine.membership().set_entries(entries, boot_time());
                engine.membership().limit_owners(&account(), 1)[0].instance.as_str() == name
            })
            .expect("a name that is ranked first");
        let mut entries = ["own", &first_name, "other"].map(entry);
        entries[1].address = first.address();
        entries[2].address = other.address();
        engine.membership().set_entries(entries.to_vec(), boot_time());
        let first_name = first_name.parse().expect("a name");
        Self { engine, exchange, first, first_name, other }
    }

    fn probe(&self) -> RelayProbe {
        RelayProbe { request_id: 7, account: account(), owner: self.first_name.clone() }
    }

    fn evidence(&self, age_ms: u32) -> RelayedProbe {
        RelayedProbe {
            request_id: EVIDENCE_ID,
            account: account(),
            owner: self.first_name.clone(),
            grants: true,
            age_ms,
        }
    }

    /// Makes the instance relay a probe. Returns the number of the claim that the owner receives.
    async fn relay_probe(&self) -> u64 {
        let requester = self.other.address();
        self.engine.handle_relay_probe(&self.exchange, self.probe(), requester).await;
        match receive(&self.first).await {
            Some(PeerMessage::Claim(claim)) if !claim.counts => claim.request_id,
            other => panic!("{other:?}"),
        }
    }

    fn state(&self) -> OwnerState {
        let state = self.engine.limits().state();
        state.watch.state(&account(), &self.first_name, boot_time())
    }
}

async fn receive(exchange: &PeerExchange) -> Option<PeerMessage> {
    let received = tokio::time::timeout(DATAGRAM_TIMEOUT, exchange.receive()).await;
    received.ok().map(|received| received.message)
}

fn granted(request_id: u64) -> ClaimResponse {
    ClaimResponse { request_id, outcome: ClaimOutcome::Granted }
}

/// Without the relayed response, a successor would take over from an owner that others reach.
#[tokio::test]
async fn a_relay_returns_the_response_of_the_owner() {
    let fixture = RelayFixture::new().await;
    let request_id = fixture.relay_probe().await;

    let from = fixture.first.address();
    fixture.engine.handle_claim_response(granted(request_id), from).await;

    let expected = RelayedProbe { request_id: 7, ..fixture.evidence(0) };
    assert_eq!(receive(&fixture.other).await, Some(PeerMessage::RelayedProbe(expected)));
}

/// A response of another instance than the owner could keep a dead owner's successor down.
#[tokio::test]
async fn a_relay_returns_no_response_of_another_instance() {
    let fixture = RelayFixture::new().await;
    let request_id = fixture.relay_probe().await;

    let from = fixture.other.address();
    fixture.engine.handle_claim_response(granted(request_id), from).await;

    assert_eq!(receive(&fixture.other).await, None);
}

/// Probes for unknown owners or of unknown senders could make instances send datagrams for others.
#[tokio::test]
async fn a_relay_rejects_probes_of_unknown_senders_accounts_and_owners() {
    let fixture = RelayFixture::new().await;
    let known = fixture.other.address();
    let unknown: SocketAddr = ([127, 0, 0, 1], 1).into();
    let other_account = RelayProbe { account: "none".parse().expect("a name"), ..fixture.probe() };
    let other_owner = RelayProbe { owner: "none".parse().expect("a name"), ..fixture.probe() };

    for (probe, from) in [(fixture.probe(), unknown), (other_account, known), (other_owner, known)]
    {
        fixture.engine.handle_relay_probe(&fixture.exchange, probe, from).await;
    }

    assert_eq!(receive(&fixture.first).await, None);
}

/// Invalid reports could keep a successor down or let it take over too early.
#[tokio::test]
async fn only_valid_reports_of_owners_count() {
    let fixture = RelayFixture::new().await;
    let known = fixture.other.address();
    let unknown: SocketAddr = ([127, 0, 0, 1], 1).into();
    let invalid = [
        (fixture.evidence(10), unknown),
        (fixture.evidence(u32::MAX), known),
        (RelayedProbe { grants: false, ..fixture.evidence(10) }, known),
        (RelayedProbe { request_id: 99, ..fixture.evidence(10) }, known),
        (RelayedProbe { owner: "own".parse().expect("a name"), ..fixture.evidence(10) }, known),
        (RelayedProbe { account: "none".parse().expect("a name"), ..fixture.evidence(10) }, known),
    ];

    for (report, from) in &invalid {
        fixture.engine.handle_relayed_probe(report, *from);
    }

    assert_eq!(fixture.state(), OwnerState::SilentFor(Duration::ZERO));
    fixture.engine.handle_relayed_probe(&fixture.evidence(10), known);
    assert_eq!(fixture.state(), OwnerState::Granting);
}

/// A successor must ask relays about an owner that does not respond, and believe them.
#[tokio::test]
async fn an_owner_without_a_response_is_probed_through_relays() {
    let fixture = RelayFixture::new().await;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(2);

    let request = loop {
        assert!(tokio::time::Instant::now() < deadline, "no relay was asked");
        fixture.engine.counts_for(&account()).await;
        let next = tokio::time::timeout(Duration::from_millis(20), fixture.other.receive()).await;
        if let Ok(ReceivedDatagram { message: PeerMessage::RelayProbe(probe), .. }) = next {
            break probe;
        }
    };
    let response = RelayedProbe { request_id: request.request_id, ..fixture.evidence(0) };
    fixture.engine.handle_relayed_probe(&response, fixture.other.address());

    assert_eq!(fixture.state(), OwnerState::Granting);
}
