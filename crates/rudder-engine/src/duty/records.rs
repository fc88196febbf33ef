//! Follows the records of all services, and with them the leases.

use super::answers::{ask, tell_subscribers};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::lead::{LeadRecord, LeaseTable};
use crate::peers::PeerExchange;
use rudder_core::ServiceName;
use rudder_store::{ObjectKind, StoreError, StoredObject};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two reads. A lease lives for 1.5 s, so that a read and a datagram may fail.
const READ_GAP: Duration = Duration::from_millis(500);

/// The most time for one read. The store answers in milliseconds, and in some hundred when slow.
const READ_LIMIT: Duration = Duration::from_millis(500);

/// The age of the records from which on a reader asks again, and then the store itself: a pause of
/// the first reader, its read and the way.
const READER_PATIENCE: Duration = Duration::from_millis(650);

/// The same for the others, by when their reader has asked the store.
const FOLLOWER_PATIENCE: Duration = Duration::from_millis(850);

/// How long an answer is awaited: the longest way between regions and back.
const ANSWER_WAIT: Duration = Duration::from_millis(100);

/// How often an instance that is told of the records asks to be told on.
const SUBSCRIBE_GAP: Duration = Duration::from_millis(900);

/// How long a source that was silent is not the first to be asked. A reader that is gone is not among
/// the sources by then, and what comes over long links is paid for.
const SILENCE_TIME: Duration = Duration::from_millis(3000);

/// How long an instance that starts waits for its entry in the list before it reads the records: what
/// was read before gives no lease. Three calls to the store and their round trips between regions.
const ENTRY_WAIT: Duration = Duration::from_millis(400);

/// The least pause between two questions that callers cause.
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// Where an instance that is told of the records stands with its questions.
#[derive(Debug, Default)]
pub(super) struct SourceState {
    asked_at: Option<Duration>,
    /// How many times in a row nobody answered in time, and when last.
    silent: usize,
    silent_at: Duration,
}

impl SourceState {
    /// Takes in that those who were asked last had not answered by `now`.
    pub(super) fn note_silence(&mut self, now: Duration) {
        self.silent += 1;
        self.silent_at = now;
    }

    /// Those to ask next: the best source, or for a while two others if it was silent.
    pub(super) fn receivers(&mut self, sources: &[SocketAddr], now: Duration) -> Vec<SocketAddr> {
        if now >= self.silent_at + SILENCE_TIME {
            self.silent = 0;
        }
        let count = if self.silent == 0 { 1 } else { 2 };
        let start = self.silent.checked_rem(sources.len()).unwrap_or(0);
        sources.iter().cycle().skip(start).take(count.min(sources.len())).copied().collect()
    }
}

/// Keeps the records current: the first reader asks the store and tells the other readers, and these
/// tell their failure domains. Whoever is not told in time asks the store itself.
pub(crate) async fn follow(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    // Over means that the entry takes longer; the records are read again when it is there.
    let _ = tokio::time::timeout(ENTRY_WAIT, engine.list_entered()).await;
    let mut state = SourceState::default();
    let mut reachable = true;
    loop {
        metrics::gauge!("rudder_records_age_seconds").set(records_age(&engine).as_secs_f64());
        let follows = engine.has_read_records() && !engine.membership().is_first_reader();
        if follows && follow_peers(&engine, &exchange, &mut state).await {
            continue;
        }
        let sent_at = boot_time();
        let answer = read_all(&engine).await;
        engine.membership().note_store_answer(answer.is_ok(), boot_time());
        match &answer {
            Ok(records) => take_records(&engine, records, sent_at),
            // Most instances' word renews leases.
            Err(_) if engine.membership().is_first_reader() => ask_all(&engine, &exchange).await,
            Err(_) => {}
        }
        tell_subscribers(&engine, &exchange).await;
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
/// lets it lead. Callers who wait for positions of the primaries have the readers asked at once.
async fn rest(engine: &ProxyEngine, exchange: &PeerExchange, time: Duration) {
    let until = tokio::time::Instant::now() + time;
    loop {
        tokio::select! {
            () = tokio::time::sleep_until(until) => return,
            () = engine.list_entered() => return,
            () = engine.records_wanted() => {
                if let Some(source) = engine.membership().sources().first() {
                    ask(engine, exchange, &[*source], true).await;
                }
                tokio::time::sleep(ASK_PAUSE).await;
            }
        }
    }
}

/// Has itself told of the records; returns whether it is told in time.
async fn follow_peers(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    state: &mut SourceState,
) -> bool {
    let is_reader = engine.membership().is_reader();
    let patience = if is_reader { READER_PATIENCE } else { FOLLOWER_PATIENCE };
    let age = unrenewed_time(engine);
    let since_asked = state.asked_at.map(|at| boot_time().saturating_sub(at));
    let due = since_asked.is_none_or(|since| since >= SUBSCRIBE_GAP);
    if age >= patience || due {
        let sources = state.receivers(&engine.membership().sources(), boot_time());
        ask(engine, exchange, &sources, true).await;
        state.asked_at = Some(boot_time());
    }
    if age >= patience {
        tokio::time::sleep(ANSWER_WAIT).await;
        let told = unrenewed_time(engine) < patience;
        if !told {
            state.note_silence(boot_time());
        }
        return told;
    }
    let next_question = SUBSCRIBE_GAP.saturating_sub(since_asked.unwrap_or_default());
    let pause = if due { patience - age } else { (patience - age).min(next_question) };
    tokio::select! {
        () = tokio::time::sleep(pause) => {}
        () = engine.list_entered() => state.asked_at = None,
        () = engine.records_wanted() => {
            state.asked_at = None;
            tokio::time::sleep(ASK_PAUSE).await;
        }
    }
    true
}

fn take_records(engine: &ProxyEngine, records: &[(ServiceName, LeadRecord)], sent_at: Duration) {
    let services: Vec<_> = records.iter().map(|(service, _)| service.clone()).collect();
    engine.note_records_read(&services, sent_at);
    for (service, record) in records {
        engine.observe(service, record, sent_at);
    }
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
pub(super) fn records_age(engine: &ProxyEngine) -> Duration {
    age_by(engine, LeaseTable::anchor)
}

/// The same, but a version that has just been announced counts from then: whoever wrote it tells the
/// readers when, and these pass it on.
pub(super) fn unrenewed_time(engine: &ProxyEngine) -> Duration {
    age_by(engine, |leases| leases.anchor().max(leases.seen_at()))
}

fn age_by(engine: &ProxyEngine, moment: impl Fn(&LeaseTable) -> Duration) -> Duration {
    let now = boot_time();
    let age_of = |at: Duration| now.saturating_sub(at);
    let read_age = engine.records_status().known_at().map_or(Duration::MAX, age_of);
    let ages = engine.groups().into_iter().map(|group| {
        group.with_leases(|leases| leases.record().map_or(read_age, |_| age_of(moment(leases))))
    });
    ages.max().unwrap_or(read_age)
}

async fn ask_all(engine: &ProxyEngine, exchange: &PeerExchange) {
    ask(engine, exchange, &engine.membership().addresses(), false).await;
}
