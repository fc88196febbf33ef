//! Tests of meshes with real sockets on loopback.

#![allow(clippy::unwrap_used, reason = "a test may end at an unexpected value")]

use async_trait::async_trait;
use rudder_core::{InstanceName, LogStamp, LogTerm, SessionToken};
use rudder_peers::{
    GroupHint, HintMessage, MeshSettings, PeerError, PeerHandler, PeerHint, PeerMesh, PeerReply,
    PeerRequest, PeerState,
};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Timeout for each condition; far longer than any takes, so that only a faulty mesh reaches it.
const TIMEOUT: Duration = Duration::from_secs(60);

#[derive(Default)]
struct RecordingHandler {
    hints: Mutex<Vec<PeerHint>>,
}

#[async_trait]
impl PeerHandler for RecordingHandler {
    async fn on_hint(&self, message: HintMessage) {
        self.hints.lock().unwrap().push(message.hint);
    }

    async fn on_request(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::SessionLookup(id) if id.as_str() == "anna" => {
                PeerReply::Session("v1/anna/scores-db=2:40".parse().unwrap())
            }
            PeerRequest::SessionHandover(_) => PeerReply::Accepted,
            PeerRequest::Succession(bytes) => PeerReply::Succession(bytes),
            _ => PeerReply::Unknown,
        }
    }
}

struct MeshFixture {
    mesh: PeerMesh,
    handler: Arc<RecordingHandler>,
}

async fn start(number: usize, seeds: Vec<SocketAddr>) -> MeshFixture {
    let name = format!("i{number}").parse().unwrap();
    let domain = format!("d{}", number % 3).parse().unwrap();
    let mut settings = MeshSettings::new(name, domain, ([127, 0, 0, 1], 0).into());
    settings.seeds = seeds;
    let handler = Arc::new(RecordingHandler::default());
    let mesh = PeerMesh::start(settings, handler.clone()).await.unwrap();
    MeshFixture { mesh, handler }
}

/// Starts meshes that each know only the first, and waits until each knows all.
async fn start_fleet(size: usize) -> Vec<MeshFixture> {
    let mut fleet = vec![start(0, Vec::new()).await];
    for number in 1..size {
        fleet.push(start(number, vec![fleet[0].mesh.address()]).await);
    }
    wait_for(|| fleet.iter().all(|fixture| fixture.mesh.instances().len() == size)).await;
    fleet
}

async fn wait_for(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait)
        .await
        .expect("the condition should hold within the timeout");
}

fn new_term(term: u64) -> PeerHint {
    PeerHint::Group(GroupHint {
        service: "scores-db".parse().unwrap(),
        term: LogTerm(term),
        primary: "m2".parse().unwrap(),
        stamp: LogStamp::new(term, 7),
        age: Some(Duration::ZERO),
    })
}

fn name(number: usize) -> InstanceName {
    format!("i{number}").parse().unwrap()
}

#[tokio::test]
async fn instances_join_through_one_seed_and_a_new_term_reaches_all() {
    let fleet = start_fleet(4).await;

    fleet[3].mesh.publish(new_term(5)).await;

    let received = |fixture: &MeshFixture| {
        let hints = fixture.handler.hints.lock().unwrap();
        hints.iter().any(|hint| matches!(hint, PeerHint::Group(hint) if hint.term == LogTerm(5)))
    };
    wait_for(|| fleet[..3].iter().all(received)).await;
}

#[tokio::test]
async fn pushed_hint_has_no_age_bound() {
    // The datagram with the confirmation of the primary is delayed by an unknown time. If its age
    // were taken as a bound, a stale read would be treated as fresh.
    let fleet = start_fleet(2).await;

    fleet[0].mesh.send_hint(&[name(1)], new_term(9)).await;

    wait_for(|| !fleet[1].handler.hints.lock().unwrap().is_empty()).await;
    let hints = fleet[1].handler.hints.lock().unwrap();
    assert!(hints.iter().all(|hint| matches!(hint, PeerHint::Group(hint) if hint.age.is_none())));
}

#[tokio::test]
async fn requests_are_answered_by_the_handler() {
    let fleet = start_fleet(2).await;
    let peer = name(1);
    let send_request = |request| fleet[0].mesh.request(&peer, request, TIMEOUT);

    let known = send_request(PeerRequest::SessionLookup("anna".parse().unwrap())).await.unwrap();
    let unknown = send_request(PeerRequest::SessionLookup("berta".parse().unwrap())).await.unwrap();
    let tokens = vec!["v1/anna/scores-db=2:40".parse::<SessionToken>().unwrap()];
    let handover = send_request(PeerRequest::SessionHandover(tokens)).await.unwrap();

    assert_eq!(known, PeerReply::Session("v1/anna/scores-db=2:40".parse().unwrap()));
    assert_eq!(unknown, PeerReply::Unknown);
    assert_eq!(handover, PeerReply::Accepted);
}

#[tokio::test]
async fn large_request_round_trips() {
    let fleet = start_fleet(2).await;
    let bytes: Vec<u8> = (0..=u8::MAX).cycle().take(300_000).collect();

    let peer = name(1);
    let request = PeerRequest::Succession(bytes.clone());
    let reply = fleet[0].mesh.request(&peer, request, TIMEOUT).await.unwrap();

    assert_eq!(reply, PeerReply::Succession(bytes));
}

#[tokio::test]
async fn response_to_another_request_is_rejected() {
    // A peer, or an intermediary, returns the late response to an earlier request. If it were
    // accepted, a caller would get the floors of another session.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let fixture = start(0, Vec::new()).await;

    let server = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        // Version 1, request 99, the code for "unknown".
        stream.write_all(&[0, 0, 0, 3, 1, 99, 3]).await.unwrap();
        stream
    };
    let request = PeerRequest::RevisionFetch { newer_than: 1 };
    let client = fixture.mesh.request_at(address, request, TIMEOUT);
    let (reply, _stream) = tokio::join!(client, server);

    assert!(matches!(reply, Err(PeerError::Mismatched)));
}

#[tokio::test]
async fn malformed_input_is_ignored() {
    // Another program sends to the port of the peers: random data over UDP, and over TCP a frame
    // that announces four gigabytes.
    let fleet = start_fleet(2).await;
    let address = fleet[0].mesh.address();
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();

    for length in 0..1400_usize {
        socket.send_to(&vec![1; length], address).await.unwrap();
    }
    stream.write_all(&[0xff; 64]).await.unwrap();
    let closed = stream.read(&mut [0; 16]).await;

    assert!(matches!(closed, Ok(0) | Err(_)));
    let peer = name(0);
    let request = PeerRequest::SessionLookup("anna".parse().unwrap());
    assert!(fleet[1].mesh.request(&peer, request, TIMEOUT).await.is_ok());
    assert_eq!(fleet[0].mesh.instances().len(), 2);
}

#[tokio::test]
async fn stopped_instance_is_removed_and_leaving_one_is_announced() {
    // Callers must not be sent to an instance that has stopped or is about to stop.
    let mut fleet = start_fleet(4).await;

    fleet[1].mesh.leave().await;
    fleet.remove(3).mesh.stop().await;

    let all_updated = |fixture: &MeshFixture| {
        let live = fixture.mesh.instances();
        let state =
            |number| live.iter().find(|entry| entry.name == name(number)).map(|entry| entry.state);
        state(3).is_none() && state(1) == Some(PeerState::Leaving)
    };
    wait_for(|| fleet.iter().all(all_updated)).await;
}
