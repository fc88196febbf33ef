//! Abusive clients of the line protocol.

use super::line_client::{DATABASE, LineSession, PIECE, RawLines, filling, filling_of};
use super::line_environment::LineEnvironment;
use super::load::{LoadClient, hold, run_in_turn, run_repeating};
use super::stage::{self, take_turn};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Bytes that a client streams without the end of a line.
const STREAM: usize = 64 << 20;

/// Bytes sent at once while streaming.
const STREAM_PIECE: usize = 64 * 1024;

/// Size of messages that are large, but far from the maximum.
const LARGE_MESSAGE: usize = 100_000;

/// Size of a row that a client reads many times.
const LARGE_ROW: usize = 500_000;

/// Statements that a client sends ahead.
const STATEMENTS_AHEAD: usize = 400;

/// Pause of clients that send or read a byte at a time.
const SLOW_PAUSE: Duration = Duration::from_secs(1);

/// Runs abusive clients at the address for callers, then checks that a single message of the greatest
/// size is still served.
async fn check_with<F: Future<Output = ()>>(name: &str, clients: impl FnOnce(SocketAddr) -> F) {
    let _turn = take_turn().await;
    check_at(LineEnvironment::start().await, name, clients).await;
}

async fn check_at<F: Future<Output = ()>>(
    mut environment: LineEnvironment,
    name: &str,
    clients: impl FnOnce(SocketAddr) -> F,
) {
    let address = environment.callers();
    stage::check_service::<LineSession>(name, &address, &environment.watch, clients(address)).await;
    environment.assert_serves(&format!("READ {}", filling())).await;
    environment.watch.assert_within_machine();
}

/// Runs a query again and again.
async fn query_endlessly(client: LoadClient<String>) -> Option<()> {
    let mut lines = RawLines::start(client.address).await?;
    loop {
        lines.query(&client.shared).await?;
    }
}

/// Sends a text on a new connection and waits until the process closes it.
async fn send_and_wait(client: LoadClient<String>) -> Option<()> {
    let mut lines = RawLines::open(client.address).await?;
    lines.send(&client.shared).await?;
    lines.read_to_end().await
}

/// Guards against memory for requests whose end never comes.
#[tokio::test(flavor = "multi_thread")]
async fn messages_without_their_end_do_not_fill_the_memory() {
    let text = format!("QUERY q READ {}", filling());
    check_with("half messages", |address| {
        run_repeating(600, address, text, |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            lines.send(&client.shared).await?;
            hold(lines).await;
            Some(())
        })
    })
    .await;
}

/// Guards against memory for startup lines whose end never comes.
#[tokio::test(flavor = "multi_thread")]
async fn startup_lines_without_their_end_do_not_fill_the_memory() {
    let text = format!("STARTUP {DATABASE} {}", filling());
    check_with("half startups", |address| run_repeating(600, address, text, send_and_wait)).await;
}

/// Guards against memory for many large requests at once.
#[tokio::test(flavor = "multi_thread")]
async fn many_whole_messages_do_not_fill_the_memory() {
    let text = format!("READ {}", filling());
    check_with("whole messages", |address| run_repeating(400, address, text, query_endlessly))
        .await;
}

/// Guards against memory and repeated parsing for large requests that arrive in small pieces.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "listed in KNOWN-RED.txt"]
async fn many_messages_in_pieces_do_not_fill_the_memory() {
    let text = format!("QUERY q READ {}\r\n", filling());
    check_with("messages in pieces", |address| {
        run_repeating(400, address, text, |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            loop {
                lines.send_in_pieces(&client.shared, PIECE, Duration::from_millis(1)).await?;
                lines.read_until("READY").await?;
            }
        })
    })
    .await;
}

/// Guards against memory for more large requests than the members can run.
#[tokio::test(flavor = "multi_thread")]
async fn very_many_large_messages_do_not_fill_the_memory() {
    let text = format!("READ {}", filling_of(LARGE_MESSAGE));
    check_with("messages of 100 kB", |address| {
        run_repeating(1_500, address, text, query_endlessly)
    })
    .await;
}

/// Guards against memory for large requests that are sent ahead.
#[tokio::test(flavor = "multi_thread")]
async fn large_messages_sent_ahead_do_not_fill_the_memory() {
    let text = format!("QUERY q READ {}\r\n", filling());
    check_with("large messages ahead", |address| {
        run_repeating(300, address, text, |client| async move {
            let mut lines = RawLines::start_unread(client.address).await?;
            loop {
                lines.send(&client.shared).await?;
            }
        })
    })
    .await;
}

/// Guards against log lines that hold what callers send, in a log that nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn names_of_any_length_do_not_fill_the_log() {
    let _turn = take_turn().await;
    let startup = format!("STARTUP {} abusive\r\n", filling());
    let environment = LineEnvironment::start_with_unread_log().await;
    check_at(environment, "unknown databases with long names", |address| {
        run_repeating(20, address, startup, send_and_wait)
    })
    .await;
}

/// Guards against memory for request ids of any length.
#[tokio::test(flavor = "multi_thread")]
async fn large_request_ids_do_not_fill_the_memory() {
    let text = format!("QUERY {} READ item\r\n", filling());
    check_with("large request ids", |address| {
        run_repeating(300, address, text, |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            loop {
                lines.send(&client.shared).await?;
                lines.read_until("READY").await?;
            }
        })
    })
    .await;
}

/// Guards against memory for session values of any number and size.
#[tokio::test(flavor = "multi_thread")]
async fn large_session_values_do_not_fill_the_memory() {
    let value = filling();
    check_with("large session values", |address| {
        run_repeating(2, address, value, |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            for number in 0.. {
                lines.query(&format!("SET name{number} {}", client.shared)).await?;
            }
            Some(())
        })
    })
    .await;
}

/// Guards against memory for the session values of many requests in progress, and of the
/// connections that they were laid on.
#[tokio::test(flavor = "multi_thread")]
async fn large_session_values_at_members_do_not_fill_the_memory() {
    let value = filling();
    check_with("large session values at members", |address| {
        run_repeating(60, address, value, |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            for number in 0..3 {
                lines.query(&format!("SET name{number} {}", client.shared)).await?;
            }
            loop {
                lines.query("READ item").await?;
            }
        })
    })
    .await;
}

/// Guards against memory for prepared statements of any number and size.
#[tokio::test(flavor = "multi_thread")]
async fn large_prepared_statements_do_not_fill_the_memory() {
    let shape = filling();
    check_with("large prepared statements", |address| {
        run_repeating(2, address, shape, |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            for number in 0.. {
                lines.query(&format!("PREPARE name{number} READ {}", client.shared)).await?;
            }
            Some(())
        })
    })
    .await;
}

/// Guards against memory for the large prepared statements that connections to members hold.
#[tokio::test(flavor = "multi_thread")]
async fn large_prepared_statements_at_members_do_not_fill_the_memory() {
    let shape = filling_of(LARGE_ROW);
    check_with("large prepared statements at members", |address| {
        run_repeating(20, address, shape, |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            for number in 0.. {
                let shape = format!("{}-{number}-{}", client.number, client.shared);
                let prepare = format!("PREPARE name READ {shape}");
                lines.query(&prepare).await?;
                lines.query("EXECUTE name item").await?;
            }
            Some(())
        })
    })
    .await;
}

/// Guards against memory for small prepared statements of any number.
#[tokio::test(flavor = "multi_thread")]
async fn many_small_prepared_statements_do_not_fill_the_memory() {
    check_with("small prepared statements", |address| {
        run_repeating(16, address, (), |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            for number in 0.. {
                let shape = format!("s{}-{number}", client.number);
                lines.query(&format!("PREPARE n{number} READ {shape}")).await?;
                lines.query(&format!("EXECUTE n{number} item")).await?;
            }
            Some(())
        })
    })
    .await;
}

/// Guards against memory that stays with a session once its large request was answered.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_idle_after_a_large_message_do_not_fill_the_memory() {
    let text = Arc::new(format!("READ {}", filling()));
    check_with("one large message each, then idle", |address| {
        run_in_turn(400, 1, move |_| {
            let text = Arc::clone(&text);
            async move {
                let mut lines = RawLines::start(address).await?;
                lines.query(&text).await?;
                Some(lines)
            }
        })
    })
    .await;
}

/// Guards against memory and processor time for streams without the end of a line.
#[tokio::test(flavor = "multi_thread")]
async fn streams_without_the_end_of_a_line_are_cut_off() {
    let piece = filling_of(STREAM_PIECE);
    check_with("endless lines", |address| {
        run_repeating(300, address, piece, |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            for _ in 0..STREAM / STREAM_PIECE {
                lines.send(&client.shared).await?;
            }
            Some(())
        })
    })
    .await;
}

/// Guards against callers that are not accepted while others occupy all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn idle_sessions_do_not_occupy_all_descriptors() {
    check_with("idle sessions", |address| {
        run_in_turn(4_600, 100, move |_| RawLines::start(address))
    })
    .await;
}

/// Guards against callers that are not accepted while others have connected and say nothing.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_do_not_occupy_all_descriptors() {
    check_with("silent connections", |address| {
        run_repeating(4_600, address, (), |client| async move {
            RawLines::open(client.address).await?.read_to_end().await
        })
    })
    .await;
}

/// Guards against callers that are not accepted while others send a byte at a time.
#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_do_not_occupy_all_descriptors() {
    check_with("a byte a second", |address| {
        run_repeating(4_600, address, (), |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            lines.send_in_pieces("QUERY q READ item-of-a-slow-client", 1, SLOW_PAUSE).await
        })
    })
    .await;
}

/// Guards against processor time for many connections that are opened and closed at once.
#[tokio::test(flavor = "multi_thread")]
async fn connections_opened_and_closed_at_once_do_not_stop_the_process() {
    check_with("opened and closed", |address| {
        run_repeating(500, address, (), |client| async move {
            let lines = RawLines::start(client.address).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            lines.map(drop)
        })
    })
    .await;
}

/// Guards against memory for the replies to small statements that are sent ahead.
#[tokio::test(flavor = "multi_thread")]
async fn small_statements_ahead_with_unread_answers_do_not_fill_the_memory() {
    let sets = "QUERY q SET name value\r\n".repeat(STATEMENTS_AHEAD);
    let reads = "QUERY q READ item\r\n".repeat(STATEMENTS_AHEAD);
    check_with("small statements ahead", |address| {
        run_repeating(68, address, (sets, reads), |client| async move {
            let (sets, reads) = &*client.shared;
            let mut lines = RawLines::start_unread(client.address).await?;
            loop {
                lines.send(if client.number < 8 { sets } else { reads }).await?;
            }
        })
    })
    .await;
}

/// Guards against memory for large replies that are not read.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "listed in KNOWN-RED.txt"]
async fn large_answers_that_are_not_read_do_not_fill_the_memory() {
    let reads = "QUERY q READ large\r\n".repeat(STATEMENTS_AHEAD);
    check_with("large answers unread", |address| async move {
        write_large_row(address).await;
        run_repeating(500, address, reads, |client| async move {
            let mut lines = RawLines::start_unread(client.address).await?;
            lines.send(&client.shared).await?;
            hold(lines).await;
            Some(())
        })
        .await;
    })
    .await;
}

/// Guards against memory for large replies that are read a byte at a time.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_that_are_read_slowly_do_not_fill_the_memory() {
    check_with("large answers read slowly", |address| async move {
        write_large_row(address).await;
        run_repeating(500, address, (), |client| async move {
            let mut lines = RawLines::start_unread(client.address).await?;
            lines.send("QUERY q READ large\r\n").await?;
            loop {
                lines.read_byte().await?;
                tokio::time::sleep(SLOW_PAUSE / 10).await;
            }
        })
        .await;
    })
    .await;
}

/// Guards against connections to members that are occupied by transactions whose callers do not read.
#[tokio::test(flavor = "multi_thread")]
async fn transactions_whose_answers_are_not_read_do_not_occupy_the_members() {
    check_with("transactions unread", |address| async move {
        write_large_row(address).await;
        run_repeating(200, address, (), |client| async move {
            let mut lines = RawLines::start_unread(client.address).await?;
            lines.query("BEGIN").await?;
            lines.query("WRITE other value").await?;
            lines.send("QUERY q READ large\r\n").await?;
            hold(lines).await;
            Some(())
        })
        .await;
    })
    .await;
}

/// Guards against memory and waits for transactions with large writes.
#[tokio::test(flavor = "multi_thread")]
async fn transactions_with_large_writes_do_not_fill_the_memory() {
    let write = format!("WRITE large {}", filling());
    check_with("large writes in transactions", |address| {
        run_repeating(4, address, write, |client| async move {
            let mut lines = RawLines::start(client.address).await?;
            lines.query("BEGIN").await?;
            for _ in 0..8 {
                lines.query(&client.shared).await?;
            }
            lines.query("ROLLBACK").await
        })
    })
    .await;
}

/// Guards against memory for request heads of any size at the readiness address.
#[tokio::test(flavor = "multi_thread")]
async fn large_heads_at_the_readiness_address_are_refused() {
    let head = format!("GET /v1/readyz HTTP/1.1\r\nhost: {}", filling());
    check_at_ready("large heads", |ready| {
        run_repeating(200, ready, head, |client| async move {
            let mut lines = RawLines::open(client.address).await?;
            lines.send(&client.shared).await?;
            lines.send(&client.shared).await?;
            lines.read_to_end().await
        })
    })
    .await;
}

/// Guards against readiness probes that are not accepted while others send a byte at a time.
#[tokio::test(flavor = "multi_thread")]
async fn slow_heads_do_not_occupy_the_readiness_address() {
    check_at_ready("slow heads", |ready| {
        run_repeating(4_600, ready, (), |client| async move {
            let mut lines = RawLines::open(client.address).await?;
            lines.send_in_pieces("GET /v1/readyz HTTP/1.1\r\n", 1, SLOW_PAUSE).await
        })
    })
    .await;
}

/// Runs abusive clients at the readiness address beside ordinary callers, with a probe each second
/// that must be answered.
async fn check_at_ready<F: Future<Output = ()>>(name: &str, clients: impl FnOnce(SocketAddr) -> F) {
    let _turn = take_turn().await;
    let environment = LineEnvironment::start().await;
    let (callers, ready) = (environment.callers(), environment.ready());
    let clients = async {
        tokio::select! {
            () = clients(ready) => {}
            () = probe_readiness(ready) => {}
        }
    };
    stage::check_service::<LineSession>(name, &callers, &environment.watch, clients).await;
}

/// Probes as the load balancer does; fails when two probes in a row have no answer.
async fn probe_readiness(ready: SocketAddr) {
    let mut misses = 0;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let probe = async {
            let mut lines = RawLines::open(ready).await?;
            lines.send("GET /v1/readyz HTTP/1.1\r\nhost: proxy\r\n\r\n").await?;
            lines.read_until("HTTP/1.1 200 OK\r").await
        };
        let answer = tokio::time::timeout(Duration::from_secs(1), probe).await;
        misses = if answer == Ok(Some(())) { 0 } else { misses + 1 };
        assert!(misses < 2, "two probes in a row were not answered");
    }
}

async fn write_large_row(address: SocketAddr) {
    let mut lines = RawLines::start(address).await.expect("a session is opened");
    let write = format!("WRITE large {}", filling_of(LARGE_ROW));
    lines.query(&write).await.expect("a row is written");
}
