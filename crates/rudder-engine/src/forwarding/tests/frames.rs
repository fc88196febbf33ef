//! Messages that are truncated, altered, repeated or of another version.

use super::counters::CounterRecorder;
use super::fixture::{TestInstance, pair, read, session};
use super::requests::request;
use crate::forwarding::frame::{
    FRAME_BYTES_MAX, FrameDecoder, LinkActivity, length_codec, preamble,
};
use crate::forwarding::wire::{
    DeclineReason, HolderFrame, OriginFrame, WireBegin, WireBody, WireRequest,
};
use bytes::{BufMut, Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{Decoder, FramedRead, FramedWrite, LengthDelimitedCodec};

const SEED: u64 = 4;

/// A connection to a holder that sends any messages.
struct RawOrigin {
    frames: FramedRead<OwnedReadHalf, FrameDecoder<HolderFrame>>,
    writer: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
}

impl RawOrigin {
    async fn connect(holder: &TestInstance) -> Self {
        let mut stream = TcpStream::connect(holder.address).await.expect("a connection");
        stream.write_all(&preamble()).await.expect("a connection");
        let mut response = [0; 3];
        stream.read_exact(&mut response).await.expect("a preamble");
        let (reader, writer) = stream.into_split();
        let decoder = FrameDecoder::new(LinkActivity::new());
        Self {
            frames: FramedRead::new(reader, decoder),
            writer: FramedWrite::new(writer, length_codec()),
        }
    }

    async fn send(&mut self, frame: &OriginFrame) {
        self.send_bytes(postcard::to_stdvec(frame).expect("a message")).await;
    }

    async fn send_bytes(&mut self, bytes: Vec<u8>) {
        // The holder may have closed the connection.
        let _ = self.writer.send(Bytes::from(bytes)).await;
    }

    /// Returns the next message; `None` once the holder has closed the connection.
    async fn next(&mut self) -> Option<HolderFrame> {
        let next = tokio::time::timeout(Duration::from_secs(5), self.frames.next()).await;
        Some(next.expect("a message or the end").and_then(Result::ok)?.0)
    }
}

fn framed(bytes: &[u8]) -> BytesMut {
    let mut framed = BytesMut::new();
    framed.put_u32(u32::try_from(bytes.len()).expect("a length"));
    framed.put_slice(bytes);
    framed
}

/// A decoder that panics lets one peer end the process.
#[tokio::test]
async fn altered_and_truncated_messages_never_panic() {
    let (origin, _holder) = pair().await;
    let mut random = StdRng::seed_from_u64(SEED);
    let begin = Some(WireBegin { read_only: true });
    let frames = [
        OriginFrame::Statement(request(&origin, 1)),
        OriginFrame::Transaction { transaction: 1, begin, request: request(&origin, 2) },
        OriginFrame::RollBack { transaction: 9 },
        OriginFrame::Ping,
    ];
    for frame in frames {
        let bytes = postcard::to_stdvec(&frame).expect("a message");
        let decode = |bytes: &[u8]| {
            let mut decoder = FrameDecoder::<OriginFrame>::new(LinkActivity::new());
            decoder.decode(&mut framed(bytes))
        };
        assert_eq!(decode(&bytes).expect("valid").map(|(decoded, _)| decoded), Some(frame));
        for length in 0..bytes.len() {
            assert!(decode(&bytes[..length]).is_err(), "truncated to {length}");
        }
        assert!(decode(&[bytes.as_slice(), &[0]].concat()).is_err(), "trailing bytes");
        for _ in 0..5000 {
            let mut altered = bytes.clone();
            for _ in 0..random.random_range(1..4) {
                let index = random.random_range(0..altered.len());
                altered[index] = random.random();
            }
            // Decoding must return; what it returns depends on the alteration.
            let _ = decode(&altered);
        }
    }
    for _ in 0..20_000 {
        let bytes: Vec<u8> = (0..random.random_range(0..64)).map(|_| random.random()).collect();
        let mut decoder = FrameDecoder::<HolderFrame>::new(LinkActivity::new());
        let _ = decoder.decode(&mut framed(&bytes));
        let _ = decoder.decode(&mut BytesMut::from(bytes.as_slice()));
    }
}

/// A length without a bound would make an instance reserve as much memory as a peer states.
#[test]
fn a_message_beyond_the_maximum_size_is_rejected_by_its_length() {
    let mut decoder = FrameDecoder::<HolderFrame>::new(LinkActivity::new());
    let mut bytes = BytesMut::new();
    bytes.put_u32(u32::try_from(FRAME_BYTES_MAX + 1).expect("a length"));

    assert!(decoder.decode(&mut bytes).is_err());
}

/// One peer's invalid bytes must cost no other peer's requests.
#[tokio::test]
async fn a_malformed_message_closes_only_its_connection() {
    let (origin, holder) = pair().await;
    let recorder = CounterRecorder::default();
    let _recording = metrics::set_default_local_recorder(&recorder);
    let mut session = session(&origin, "bounded").await;
    read(&mut session, "READ x").await;
    let mut raw = RawOrigin::connect(&holder).await;

    raw.send_bytes(vec![0xEE; 100]).await;

    assert_eq!(raw.next().await, None);
    assert_eq!(recorder.value("rudder_forward_frames_rejected_total{malformed}"), 1);
    assert_eq!(read(&mut session, "READ x").await.error(), None);
    assert_eq!((holder.log.lines().len(), origin.log.lines().len()), (2, 0));
}

/// Messages of another version could be taken for others of this one.
#[tokio::test]
async fn a_peer_of_another_version_is_turned_away() {
    let (_origin, holder) = pair().await;
    let recorder = CounterRecorder::default();
    let _recording = metrics::set_default_local_recorder(&recorder);
    let mut stream = TcpStream::connect(holder.address).await.expect("a connection");

    stream.write_all(&[0xFF, 0xFF, 250]).await.expect("a connection");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.expect("the end of the connection");

    assert_eq!(response, preamble(), "the holder states its own version");
    assert_eq!(recorder.value("rudder_forward_frames_rejected_total{version}"), 1);
}

/// A number that is used again would let the result of one request be taken for another's.
#[tokio::test]
async fn a_repeated_request_is_not_run_and_closes_the_connection() {
    let (origin, holder) = pair().await;
    let recorder = CounterRecorder::default();
    let _recording = metrics::set_default_local_recorder(&recorder);
    let mut raw = RawOrigin::connect(&holder).await;

    raw.send(&OriginFrame::Statement(request(&origin, 7))).await;
    assert!(matches!(raw.next().await, Some(HolderFrame::Reply { request_id: 7, .. })));
    raw.send(&OriginFrame::Statement(request(&origin, 7))).await;

    assert_eq!(raw.next().await, None);
    assert_eq!(holder.log.lines().len(), 1);
    assert_eq!(recorder.value("rudder_forward_frames_rejected_total{repeated_request}"), 1);
}

/// An origin that is cut off must not leave its transaction open.
#[tokio::test]
async fn a_lost_connection_rolls_its_transactions_back() {
    let (origin, holder) = pair().await;
    let mut raw = RawOrigin::connect(&holder).await;
    let begin = Some(WireBegin { read_only: false });
    let first = OriginFrame::Transaction { transaction: 1, begin, request: request(&origin, 1) };
    raw.send(&first).await;
    assert!(matches!(raw.next().await, Some(HolderFrame::Reply { .. })));

    drop(raw);

    let account = super::fixture::forwarded_account(&origin);
    holder.log.wait_for(&format!("{account}: rollback")).await;
}

/// A statement of a transaction that has ended must neither run nor stay without a response.
#[tokio::test]
async fn a_statement_of_an_unknown_transaction_is_aborted() {
    let (origin, holder) = pair().await;
    let mut raw = RawOrigin::connect(&holder).await;
    let frame =
        OriginFrame::Transaction { transaction: 5, begin: None, request: request(&origin, 1) };

    raw.send(&frame).await;

    let Some(HolderFrame::Reply { request_id: 1, reply }) = raw.next().await else {
        panic!("a reply is missing");
    };
    let reply = crate::statement::StatementReply::from(reply);
    assert_eq!(reply.error(), Some(&crate::statement::StatementError::Aborted));
    assert!(holder.log.lines().is_empty());
}

/// An instance that ran requests for unknown services would keep state for each of them.
#[tokio::test]
async fn unknown_services_and_past_deadlines_are_declined() {
    let (origin, holder) = pair().await;
    let recorder = CounterRecorder::default();
    let _recording = metrics::set_default_local_recorder(&recorder);
    let mut raw = RawOrigin::connect(&holder).await;
    let mut unknown = request(&origin, 1);
    unknown.route.service = "elsewhere".parse().expect("a name");
    let mut past = request(&origin, 2);
    past.time = Duration::ZERO;

    raw.send(&OriginFrame::Statement(unknown)).await;
    raw.send(&OriginFrame::Statement(past)).await;

    let declined = |request_id, reason| Some(HolderFrame::Declined { request_id, reason });
    assert_eq!(raw.next().await, declined(1, DeclineReason::UnknownService));
    assert_eq!(raw.next().await, declined(2, DeclineReason::Expired));
    assert_eq!(recorder.value("rudder_forward_declined_total{expired}"), 1);
    assert!(holder.log.lines().is_empty());
}

/// A write that was read after a suspension of the process would run when its caller was long told
/// that its outcome is unknown, and may have sent it again.
#[tokio::test]
async fn a_request_that_arrived_during_a_suspension_is_declined() {
    let (origin, holder) = pair().await;
    let mut raw = RawOrigin::connect(&holder).await;
    raw.send(&OriginFrame::Statement(request(&origin, 1))).await;
    assert!(matches!(raw.next().await, Some(HolderFrame::Reply { .. })));

    raw.send(&OriginFrame::Statement(request(&origin, 2))).await;
    // The test has one thread, so nothing of the holder runs meanwhile.
    std::thread::sleep(Duration::from_millis(700));

    let declined = HolderFrame::Declined { request_id: 2, reason: DeclineReason::Expired };
    assert_eq!(raw.next().await, Some(declined));
    assert_eq!(holder.log.lines().len(), 1);
    tokio::time::sleep(Duration::from_millis(350)).await;
    raw.send(&OriginFrame::Statement(request(&origin, 3))).await;
    assert!(matches!(raw.next().await, Some(HolderFrame::Reply { request_id: 3, .. })));
}

/// A commit that is read after a suspension would take effect when its caller has given it up.
#[tokio::test]
async fn a_commit_that_arrived_during_a_suspension_is_not_run() {
    let (origin, holder) = pair().await;
    let account = super::fixture::forwarded_account(&origin);
    let mut raw = RawOrigin::connect(&holder).await;
    let begin = Some(WireBegin { read_only: false });
    let first = OriginFrame::Transaction { transaction: 1, begin, request: request(&origin, 1) };
    raw.send(&first).await;
    assert!(matches!(raw.next().await, Some(HolderFrame::Reply { .. })));

    let commit = WireRequest { body: WireBody::Commit, ..request(&origin, 2) };
    let commit = OriginFrame::Transaction { transaction: 1, begin: None, request: commit };
    raw.send(&commit).await;
    std::thread::sleep(Duration::from_millis(700));

    let declined = HolderFrame::Declined { request_id: 2, reason: DeclineReason::Expired };
    assert_eq!(raw.next().await, Some(declined));
    holder.log.wait_for(&format!("{account}: rollback")).await;
    assert!(!holder.log.lines().iter().any(|line| line.contains("commit")));
}
