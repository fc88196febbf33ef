//! Follows the records of all services, and with them the leases.

use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::lead::LeadRecord;
use crate::peers::{PeerExchange, PeerMessage};
use rudder_core::ServiceName;
use rudder_store::{ObjectKind, StoreError, StoredObject};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two reads. A lease lives for 1.5 s, so that two reads may fail.
const READ_GAP: Duration = Duration::from_millis(400);

/// The most time for one read. The store answers in milliseconds, and in some hundred when slow.
const READ_LIMIT: Duration = Duration::from_millis(500);

/// How long an answer of a reader is awaited. In the same failure domain it takes a millisecond.
const ANSWER_WAIT: Duration = Duration::from_millis(100);

/// The age of the readers' word from which on an instance reads the store itself. A fresh answer
/// is at most as old as a reader's pause and one slow read; a lease's life is then not half over.
const PEER_AGE_MAX: Duration = Duration::from_millis(700);

/// How long an instance that starts waits for its entry in the list before it reads the records: what
/// was read before gives no lease. Three calls to the store and their round trips between regions.
const ENTRY_WAIT: Duration = Duration::from_millis(400);

/// The least pause between two questions that callers cause.
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// Peers that are asked when the store does not answer.
const PEERS_ASKED: usize = 3;

/// Keeps the records current: those that read for all ask the store, the others ask them. Peers
/// are asked as well while the store does not answer.
///
/// Reads of the store are paid for each, and its rate does not grow with the fleet.
pub(crate) async fn follow(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    let mut reachable = true;
    // Over means that the entry takes longer; the records are read again when it is there.
    let _ = tokio::time::timeout(ENTRY_WAIT, engine.list_entered()).await;
    loop {
        let sent_at = boot_time();
        let follows = engine.has_read_records() && !engine.membership().is_reader();
        if follows && follow_peers(&engine, &exchange).await {
            rest(&engine, &exchange, READ_GAP - ANSWER_WAIT).await;
            continue;
        }
        let answer = read_all(&engine).await;
        match &answer {
            Ok(records) => {
                let services: Vec<_> = records.iter().map(|(service, _)| service.clone()).collect();
                engine.note_records_read(&services, sent_at);
                for (service, record) in records {
                    engine.observe(service, record, sent_at);
                }
            }
            // Most instances' word renews leases, so that those that read for all ask everybody.
            Err(_) if engine.membership().is_reader() => ask_all(&engine, &exchange).await,
            Err(_) => ask_peers(&engine, &exchange, PEERS_ASKED).await,
        }
        if answer.is_ok() != reachable {
            reachable = answer.is_ok();
            let reason = answer.err().map_or_else(|| "answered".to_owned(), |e| e.to_string());
            log::warn!(reachable = reachable, reason:% = reason; "the store's records");
        }
        let gap = if reachable { READ_GAP } else { READ_GAP / 2 };
        rest(&engine, &exchange, gap.saturating_sub(boot_time().saturating_sub(sent_at))).await;
    }
}

/// Waits for `time`, or until this instance has entered the list: only what is read from then on
/// lets it lead. Callers who wait for word have a reader asked at once.
async fn rest(engine: &ProxyEngine, exchange: &PeerExchange, time: Duration) {
    let until = tokio::time::Instant::now() + time;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(until) => return,
            () = engine.list_entered() => return,
            () = engine.records_wanted() => {
                if !engine.membership().is_reader() {
                    ask_peers(engine, exchange, 1).await;
                }
                tokio::time::sleep(ASK_PAUSE).await;
            }
        }
    }
}

/// Asks a reader; returns whether its word is fresh.
async fn follow_peers(engine: &ProxyEngine, exchange: &PeerExchange) -> bool {
    ask_peers(engine, exchange, 1).await;
    tokio::time::sleep(ANSWER_WAIT).await;
    oldest_record_age(engine) < PEER_AGE_MAX
}

async fn read_all(engine: &ProxyEngine) -> Result<Vec<(ServiceName, LeadRecord)>, StoreError> {
    let list = engine.borders().store.list(ObjectKind::PrimaryRecord);
    let objects = match tokio::time::timeout(READ_LIMIT, list).await {
        Ok(objects) => objects?,
        Err(_) => return Err(StoreError::Unavailable),
    };
    Ok(objects.iter().filter_map(read_record).collect())
}

/// Reads one record; one that cannot be read is none.
pub(super) fn read_record(object: &StoredObject) -> Option<(ServiceName, LeadRecord)> {
    let service = object.name.parse::<ServiceName>();
    let record = serde_json::from_value::<LeadRecord>(object.spec.clone());
    match (service, record) {
        (Ok(service), Ok(record)) => Some((service, record)),
        (service, record) => {
            let reason = record.err().map(|error| error.to_string());
            let reason = reason.or_else(|| service.err().map(|error| error.to_string()));
            log::error!(
                object:% = object.name, reason:% = reason.unwrap_or_default();
                "a record of a primary is unreadable"
            );
            None
        }
    }
}

/// The age of what is known of the records. Of a service without one it is the age of the last read
/// that showed none.
pub(super) fn oldest_record_age(engine: &ProxyEngine) -> Duration {
    let now = boot_time();
    let listed_age = engine.records_status().known_at().map(|at| now.saturating_sub(at));
    let listed_age = listed_age.unwrap_or(Duration::MAX);
    let ages = engine.groups().into_iter().map(|group| {
        group.with_leases(|leases| match leases.record() {
            Some(_) => now.saturating_sub(leases.anchor()),
            None => listed_age,
        })
    });
    ages.max().unwrap_or(listed_age)
}

/// Asks `count` of the instances that read the store, the near ones first.
async fn ask_peers(engine: &ProxyEngine, exchange: &PeerExchange, count: usize) {
    let mut readers = engine.membership().reader_addresses();
    if count > 1 && !readers.is_empty() {
        // Begins with another one each time: one that is cut off as well is not asked for ever.
        let turn = rand::random::<u32>() as usize % readers.len();
        readers.rotate_left(turn);
    }
    readers.truncate(count);
    ask(engine, exchange, &readers).await;
}

async fn ask_all(engine: &ProxyEngine, exchange: &PeerExchange) {
    ask(engine, exchange, &engine.membership().addresses()).await;
}

/// Asks instances for the records that they know.
pub(super) async fn ask(engine: &ProxyEngine, exchange: &PeerExchange, receivers: &[SocketAddr]) {
    ask_again(engine, exchange, receivers, rand::random()).await;
}

/// Asks a question, or the same one again; its answers count together.
pub(super) async fn ask_again(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    receivers: &[SocketAddr],
    question: u64,
) {
    engine.membership().questions().note_question(question);
    let instance = engine.identity().name.clone();
    exchange.send_all(&PeerMessage::Ask { instance, question }, receivers).await;
}
