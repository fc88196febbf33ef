//! Clients: sessions that write and read, and reconnect after a close.

use crate::group::Group;
use rudder_standins::{LineClient, LineReply};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// Time that a client waits for an answer.
const LIMIT: Duration = Duration::from_secs(10);

pub fn next_id(kind: &str) -> String {
    format!("{kind}{:06}", NUMBER.fetch_add(1, Ordering::Relaxed) + 1)
}

/// Sends a request and records what is sent and answered.
pub async fn ask(
    group: &Group,
    client: &mut LineClient,
    id: &str,
    text: &str,
) -> Option<LineReply> {
    {
        let mut state = group.lock();
        state.note(format!("sent   {id} {text}"));
        state.sent.insert(id.to_owned(), Instant::now());
    }
    let reply = tokio::time::timeout(LIMIT, client.query(id, text)).await;
    let mut state = group.lock();
    match reply {
        Ok(Ok(reply)) => {
            if reply.is_done() {
                state.acked_or_read(id, text);
            }
            state.note(format!("answer {id} {} {}", reply.outcome, reply.rows.join("|")));
            Some(reply)
        }
        Ok(Err(error)) => {
            state.note(format!("answer {id} none: {error}"));
            None
        }
        Err(_) => {
            state.note(format!("answer {id} none in {LIMIT:?}"));
            None
        }
    }
}

/// Runs a session until `stop`: single writes and reads in turn, with a pause between.
pub async fn run_session(
    group: Group,
    address: SocketAddr,
    database: String,
    number: usize,
    pause: Duration,
    writes: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
) {
    let mut client: Option<LineClient> = None;
    let mut turn = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        if client.is_none() {
            let startup = format!("{database} key-{number}");
            let connect = LineClient::connect(address, &startup);
            match tokio::time::timeout(Duration::from_secs(2), connect).await {
                Ok(Ok((connected, line))) if line.starts_with("READY") => client = Some(connected),
                _ => {
                    tokio::time::sleep(Duration::from_millis(200)).await;
                    continue;
                }
            }
        }
        let Some(open) = client.as_mut() else { continue };
        turn += 1;
        let reply = if turn % 2 == 1 && writes.load(Ordering::Relaxed) {
            let id = next_id("w");
            ask(&group, open, &id, &format!("WRITE s{number} v{id}")).await
        } else {
            let id = next_id("r");
            ask(&group, open, &id, &format!("READ s{number}")).await
        };
        match reply {
            Some(reply) if reply.is_done() => {}
            Some(reply) if reply.state() == "I" => {
                tokio::time::sleep(Duration::from_millis(150)).await;
            }
            _ => client = None,
        }
        tokio::time::sleep(pause).await;
    }
}
