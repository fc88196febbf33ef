//! Abusive clients of the PostgreSQL protocol.

use super::frame_client::{FrameSession, RawFrames, parse_frame, query_frame, sync_frame};
use super::frame_environment::FrameEnvironment;
use super::load::{LoadClient, hold, run_in_turn, run_repeating};
use super::stage::{self, take_turn};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

/// Size of a message just under the default maximum of 16 MiB.
const LARGE_MESSAGE: usize = (16 << 20) - 64;

/// Size of messages that are large, but far from the maximum.
const MEDIUM_MESSAGE: usize = 1 << 20;

/// Size of a row, below that of the largest message and above that of the kernel's buffers.
const LARGE_ROW: usize = 240 * 1024;

/// Number of callers that a process takes which is started for few.
const FEW_CALLERS: u32 = 300;

/// Statements that a client sends ahead.
const STATEMENTS_AHEAD: usize = 400;

/// Returns a query that selects nothing large, with a comment that fills it to a size.
fn filled_query(bytes: usize) -> String {
    format!("SELECT 1 /* {} */", "x".repeat(bytes))
}

/// Runs abusive clients at the address for callers, then checks that a single message of the greatest
/// size is still served.
async fn check_with<F: Future<Output = ()>>(name: &str, clients: impl FnOnce(SocketAddr) -> F) {
    let _turn = take_turn().await;
    check_at(FrameEnvironment::start().await, name, clients).await;
}

async fn check_at<F: Future<Output = ()>>(
    environment: FrameEnvironment,
    name: &str,
    clients: impl FnOnce(SocketAddr) -> F,
) {
    let address = environment.callers();
    stage::check_service::<FrameSession>(name, &address, &environment.watch, clients(address))
        .await;
    environment.assert_serves(&filled_query(LARGE_MESSAGE - 64)).await;
    environment.watch.assert_within_machine();
}

/// Runs a batch again and again.
async fn run_endlessly(client: LoadClient<impl AsRef<[u8]>>) -> Option<()> {
    let mut frames = RawFrames::start(client.address).await?;
    loop {
        frames.run((*client.shared).as_ref()).await?;
    }
}

/// Sends bytes again and again.
async fn send_endlessly(client: LoadClient<impl AsRef<[u8]>>) -> Option<()> {
    let mut frames = RawFrames::start(client.address).await?;
    loop {
        frames.send((*client.shared).as_ref()).await?;
    }
}

/// Sends bytes again and again, and takes few answers.
async fn send_without_reading(client: LoadClient<impl AsRef<[u8]>>) -> Option<()> {
    let mut frames = RawFrames::start_unread(client.address).await?;
    loop {
        frames.send((*client.shared).as_ref()).await?;
    }
}

/// Sends bytes once, takes little of the answer and keeps the connection open.
async fn send_and_hold(client: LoadClient<impl AsRef<[u8]>>) -> Option<()> {
    let mut frames = RawFrames::start_unread(client.address).await?;
    frames.send((*client.shared).as_ref()).await?;
    hold(frames).await;
    Some(())
}

/// Guards against memory for messages whose end never comes.
#[tokio::test(flavor = "multi_thread")]
async fn frames_without_their_end_do_not_fill_the_memory() {
    let mut frame = query_frame(&filled_query(LARGE_MESSAGE - 64));
    frame.truncate(frame.len() - 1);
    check_with("postgres half messages", |address| {
        run_repeating(60, address, frame, |client| async move {
            let mut frames = RawFrames::start(client.address).await?;
            frames.send(&client.shared).await?;
            hold(frames).await;
            Some(())
        })
    })
    .await;
}

/// Guards against memory for many large messages at once.
#[tokio::test(flavor = "multi_thread")]
async fn many_whole_frames_do_not_fill_the_memory() {
    let frame = query_frame(&filled_query(MEDIUM_MESSAGE));
    check_with("postgres whole messages", |address| {
        run_repeating(400, address, frame, run_endlessly)
    })
    .await;
}

/// Guards against memory for large messages that are sent ahead.
#[tokio::test(flavor = "multi_thread")]
async fn large_frames_sent_ahead_do_not_fill_the_memory() {
    let frame = query_frame(&filled_query(MEDIUM_MESSAGE));
    check_with("postgres large messages ahead", |address| {
        run_repeating(300, address, frame, send_without_reading)
    })
    .await;
}

/// Guards against memory for batches whose Sync never comes.
#[tokio::test(flavor = "multi_thread")]
async fn batches_without_their_end_do_not_fill_the_memory() {
    let frame = parse_frame("", &filled_query(MEDIUM_MESSAGE));
    check_with("postgres endless batches", |address| {
        run_repeating(20, address, frame, send_endlessly)
    })
    .await;
}

/// Guards against memory for batches of very many small messages whose Sync never comes.
#[tokio::test(flavor = "multi_thread")]
async fn batches_of_small_frames_do_not_fill_the_memory() {
    let frames_ahead = parse_frame("", "SELECT 1").repeat(1000);
    check_with("postgres endless batches of small messages", |address| {
        run_repeating(100, address, frames_ahead, send_endlessly)
    })
    .await;
}

/// Guards against memory for the tokens of a text, which take many times its size.
#[tokio::test(flavor = "multi_thread")]
async fn texts_of_many_tokens_do_not_fill_the_memory() {
    let text = format!("SELECT 1{}", ",1".repeat(4 << 20));
    let frame = query_frame(&text);
    check_with("postgres many tokens", |address| run_repeating(4, address, frame, run_endlessly))
        .await;
}

/// Guards against memory for prepared statements of any number and size.
#[tokio::test(flavor = "multi_thread")]
async fn large_prepared_frames_do_not_fill_the_memory() {
    let text = filled_query(MEDIUM_MESSAGE);
    check_with("postgres large prepared statements", |address| {
        run_repeating(4, address, text, |client| async move {
            let mut frames = RawFrames::start(client.address).await?;
            for number in 0.. {
                let mut batch = parse_frame(&format!("name{number}"), &client.shared);
                batch.unsplit(sync_frame());
                frames.run(&batch).await?;
            }
            Some(())
        })
    })
    .await;
}

/// Guards against memory for small prepared statements of any number.
#[tokio::test(flavor = "multi_thread")]
async fn many_small_prepared_frames_do_not_fill_the_memory() {
    check_with("postgres small prepared statements", |address| {
        run_repeating(16, address, (), |client| async move {
            let mut frames = RawFrames::start(client.address).await?;
            for round in 0.. {
                let mut batch = bytes::BytesMut::new();
                for number in 0..1000 {
                    let name = format!("name{round}-{number}");
                    let text = format!("SELECT {}{round}{number}", client.number);
                    batch.unsplit(parse_frame(&name, &text));
                }
                batch.unsplit(sync_frame());
                frames.run(&batch).await?;
            }
            Some(())
        })
    })
    .await;
}

/// Guards against memory for session settings of any number and size.
#[tokio::test(flavor = "multi_thread")]
async fn large_settings_do_not_fill_the_memory() {
    let value = "x".repeat(MEDIUM_MESSAGE);
    check_with("postgres large settings", |address| {
        run_repeating(4, address, value, |client| async move {
            let mut frames = RawFrames::start(client.address).await?;
            for number in 0.. {
                let set = format!("SET my.name{number} = '{}'", client.shared);
                frames.run(&query_frame(&set)).await?;
            }
            Some(())
        })
    })
    .await;
}

/// Guards against memory that stays with a session once its large message was answered.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_idle_after_a_large_frame_do_not_fill_the_memory() {
    let frame = Arc::new(query_frame(&filled_query(MEDIUM_MESSAGE)));
    check_with("postgres one large message each, then idle", |address| {
        run_in_turn(400, 2, move |_| {
            let frame = Arc::clone(&frame);
            async move {
                let mut frames = RawFrames::start(address).await?;
                frames.run(&frame).await?;
                Some(frames)
            }
        })
    })
    .await;
}

/// Guards against callers that are not accepted while logins are left unfinished.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_logins_do_not_occupy_the_process() {
    check_with("postgres unfinished logins", |address| {
        run_repeating(3_000, address, (), |client| async move {
            let mut frames = RawFrames::open(client.address).await?;
            frames.send(&[0, 0, 0, 80, 0, 3, 0, 0]).await?;
            frames.read_to_end().await
        })
    })
    .await;
}

/// Guards against callers that are not accepted while others occupy all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn idle_postgres_sessions_do_not_occupy_all_descriptors() {
    check_with("postgres idle sessions", |address| {
        run_in_turn(4_600, 100, move |_| RawFrames::start(address))
    })
    .await;
}

/// Guards against callers that are not accepted while idle sessions occupy all places, for an hour by
/// default.
#[tokio::test(flavor = "multi_thread")]
async fn idle_postgres_sessions_do_not_keep_out_others() {
    let _turn = take_turn().await;
    let environment = FrameEnvironment::start_with(FEW_CALLERS).await;
    check_at(environment, "postgres idle sessions in all places", |address| {
        run_repeating(2 * FEW_CALLERS as usize, address, (), |client| async move {
            RawFrames::start(client.address).await?.read_to_end().await
        })
    })
    .await;
}

/// Guards against memory for answers that are not read.
#[tokio::test(flavor = "multi_thread")]
async fn postgres_answers_that_are_not_read_do_not_fill_the_memory() {
    let queries = query_frame("SELECT 1").repeat(STATEMENTS_AHEAD);
    check_with("postgres answers unread", |address| {
        run_repeating(100, address, queries, send_without_reading)
    })
    .await;
}

/// Guards against memory for large answers that are held until a commit is acknowledged, and then not
/// read.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_of_commits_that_are_not_read_do_not_fill_the_memory() {
    let frame = query_frame("INSERT INTO parts VALUES (1); SELECT data FROM large");
    check_with("postgres large answers of commits unread", |address| async move {
        write_large_rows(address, 8).await;
        run_repeating(100, address, frame, send_and_hold).await;
    })
    .await;
}

/// Guards against connections to members that are occupied by transactions whose callers do not read.
#[tokio::test(flavor = "multi_thread")]
async fn transactions_whose_answers_are_not_read_do_not_occupy_the_members() {
    let batches = (query_frame("BEGIN"), query_frame("SELECT data FROM large"));
    check_with("postgres transactions unread", |address| async move {
        write_large_rows(address, 1).await;
        run_repeating(200, address, batches, |client| async move {
            let (begin, select) = &*client.shared;
            let mut frames = RawFrames::start_unread(client.address).await?;
            frames.run(begin).await?;
            frames.send(select).await?;
            hold(frames).await;
            Some(())
        })
        .await;
    })
    .await;
}

/// Guards against connections to members that are occupied by transactions whose callers have stopped.
#[tokio::test(flavor = "multi_thread")]
async fn transactions_that_are_left_open_do_not_occupy_the_members() {
    let batches = [query_frame("BEGIN"), query_frame("INSERT INTO parts VALUES (0)")];
    check_with("postgres transactions left open", |address| {
        run_repeating(100, address, batches, |client| async move {
            let mut frames = RawFrames::start(client.address).await?;
            for batch in &*client.shared {
                frames.run(batch).await?;
            }
            if frames.in_transaction() {
                hold(frames).await;
            }
            Some(())
        })
    })
    .await;
}

/// Guards against slots of members that are occupied by callers who do not read their answers.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "listed in KNOWN-RED.txt"]
async fn answers_that_are_not_read_do_not_occupy_the_slots() {
    let select = query_frame("SELECT data FROM large");
    check_with("postgres large answers unread", |address| async move {
        write_large_rows(address, 40).await;
        run_repeating(100, address, select, send_and_hold).await;
    })
    .await;
}

/// Creates a table with rows of a size that the kernel's buffers do not take.
async fn write_large_rows(address: SocketAddr, count: usize) {
    let mut frames = RawFrames::start(address).await.expect("a login");
    let create = query_frame("CREATE TABLE large (data text)");
    frames.run(&create).await.expect("a table");
    let insert = format!("INSERT INTO large VALUES ('{}')", "x".repeat(LARGE_ROW));
    for _ in 0..count {
        frames.run(&query_frame(&insert)).await.expect("a row");
    }
}

/// Guards against memory for messages that declare a size far over the limit.
#[tokio::test(flavor = "multi_thread")]
async fn frames_far_over_the_limit_are_refused() {
    let piece = vec![b'x'; 64 * 1024];
    check_with("postgres messages of 2 GB", |address| {
        run_repeating(100, address, piece, |client| async move {
            let mut frames = RawFrames::start(client.address).await?;
            frames.send(b"Q\x7f\xff\xff\xff").await?;
            for _ in 0..1000 {
                frames.send(&client.shared).await?;
            }
            Some(())
        })
    })
    .await;
}
