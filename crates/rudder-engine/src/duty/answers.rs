//! Questions between instances about the records of primaries, and their answers.

use super::heartbeat::catch_up_if_behind;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::ServiceGroup;
use crate::lead::is_quorum;
use crate::peers::{
    PeerExchange, PeerMessage, QuestionOffset, RecordCopy, RecordTiming, RecordsAnswer,
    RecordsDigest, RecordsQuestion, RecordsSubscriber, SampleCopy,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Asks instances for the records that they know.
pub(super) async fn ask(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    receivers: &[SocketAddr],
    subscribes: bool,
) {
    ask_again(engine, exchange, receivers, rand::random(), subscribes).await;
}

/// Asks a question, or the same one again; its answers count together.
pub(super) async fn ask_again(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    receivers: &[SocketAddr],
    question: u64,
    subscribes: bool,
) {
    engine.membership().questions().note_question(question, boot_time());
    let instance = engine.identity().name.clone();
    let digest = digest_of(&engine.known_records());
    let question = RecordsQuestion { instance, question, digest, subscribes };
    exchange.send_all(&PeerMessage::Ask(question), receivers).await;
}

/// Answers a peer's question, and notes that it is to be told more.
pub(super) async fn answer_question(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    question: RecordsQuestion,
    from: SocketAddr,
) {
    if engine.groups().iter().any(|group| group.newest_sample().is_none()) {
        // The asker's callers wait for positions of the primaries, too.
        engine.want_position();
    }
    let subscriber = RecordsSubscriber {
        address: from,
        instance: question.instance,
        question: question.question,
        received_at: boot_time(),
        digest: question.digest,
    };
    let answer = compose_answer(engine, &subscriber);
    if question.subscribes {
        engine.membership().subscribers().subscribe(subscriber);
    }
    exchange.send(&PeerMessage::Records(answer), from).await;
}

/// Tells those who asked for it what is known by now.
pub(super) async fn tell_subscribers(engine: &ProxyEngine, exchange: &PeerExchange) {
    let subscribers = engine.membership().subscribers().live(boot_time());
    for subscriber in subscribers {
        let answer = compose_answer(engine, &subscriber);
        exchange.send(&PeerMessage::Records(answer), subscriber.address).await;
    }
}

/// What this instance knows, in moments counted from a question.
fn compose_answer(engine: &ProxyEngine, subscriber: &RecordsSubscriber) -> RecordsAnswer {
    let received_at = subscriber.received_at;
    let offset = |moment: Option<Duration>| QuestionOffset::of(moment?, received_at);
    let groups = engine.groups();
    let known: Vec<(RecordCopy, RecordTiming)> =
        groups.iter().filter_map(|group| copy_record(group, received_at)).collect();
    let (records, timings): (Vec<_>, _) = known.into_iter().unzip();
    let digest = digest_of(&records);
    let (entries, entries_at) = engine.membership().entries_version();
    RecordsAnswer {
        instance: engine.identity().name.clone(),
        question: subscriber.question,
        listed: offset(engine.membership().listed_at(&subscriber.instance)),
        read: offset(engine.records_status().known_at()),
        version: engine.copy_version(),
        current: offset(engine.store_confirmed_at()),
        entries,
        entries_read: offset(Some(entries_at)),
        // Guards against an instance that forgot by a restart that it had stopped: it confirms a
        // version only once it has read the store itself.
        confirms: engine.has_read_records(),
        digest,
        timings,
        records: (digest != subscriber.digest).then_some(records),
    }
}

fn digest_of(records: &[RecordCopy]) -> RecordsDigest {
    RecordsDigest::of(records.iter().map(|copy| (&copy.service, copy.record.epoch)))
}

fn copy_record(group: &ServiceGroup, received_at: Duration) -> Option<(RecordCopy, RecordTiming)> {
    let (leases, newest) = group.knowledge();
    let record = leases.record()?.clone();
    let offset = |moment| QuestionOffset::of(moment, received_at);
    let sample =
        newest.map(|sample| SampleCopy { stamp: sample.stamp, sent: offset(sample.sent_at) });
    let timing = RecordTiming {
        confirmed: offset(leases.confirmed_at()),
        anchor: offset(leases.anchor()),
        sample,
    };
    Some((RecordCopy { service: group.service().clone(), record }, timing))
}

/// Takes in the answer to a question of this instance's own, and passes on what is new in it.
pub(super) async fn take_answer(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    answer: RecordsAnswer,
    from: SocketAddr,
) {
    if take_in(engine, answer, from) {
        tell_subscribers(engine, exchange).await;
    }
}

/// Takes in an answer; returns whether it says of a later moment than was known that the records
/// were in place. Two instances that tell each other come to an end by that, as no answer is newer
/// than what it was made from.
fn take_in(engine: &Arc<ProxyEngine>, answer: RecordsAnswer, from: SocketAddr) -> bool {
    let question = answer.question;
    let Some(asked_at) = engine.membership().questions().asked_at(question) else { return false };
    let moment = |offset: QuestionOffset| offset.since(asked_at);
    let first = engine.membership().questions().note_answer(question, &answer.instance);
    if let Some(listed) = answer.listed {
        engine.renew_listed(moment(listed));
    }
    let mut renewed = answer.read.is_some_and(|read| engine.note_records_told(moment(read)));
    engine.note_told(answer.version, answer.current.map(moment));
    let read = answer.entries_read.map(moment);
    let lists = read.is_some_and(|at| engine.membership().renew_entries(answer.entries, at));
    catch_up_if_behind(engine, answer.version, lists.then_some(from));
    let records = answer.records.unwrap_or_else(|| engine.known_records());
    if digest_of(&records) != answer.digest {
        // The versions changed here meanwhile; the next question names them.
        return renewed;
    }
    if records.len() != answer.timings.len() {
        log::warn!(instance:% = answer.instance; "an answer of a peer is incomplete");
        return renewed;
    }
    // Guards against a few that take themselves for most, as they have not seen the whole list.
    let counts = first
        && answer.confirms
        && engine.has_read_records()
        && engine.membership().has_entry(&engine.identity().name);
    let instances = if counts { engine.membership().known_count() } else { 0 };
    for (copy, timing) in records.iter().zip(&answer.timings) {
        let confirmed_at = timing.confirmed.map_or(Duration::ZERO, moment);
        renewed |= engine.observe(&copy.service, &copy.record, confirmed_at);
        let epoch = copy.record.epoch;
        if let Some(anchor) = timing.anchor {
            renewed |= engine.confirm_by_majority(&copy.service, epoch, moment(anchor));
        }
        if counts {
            let mut questions = engine.membership().questions();
            let count = questions.count_confirmation(question, &copy.service, epoch);
            drop(questions);
            if is_quorum(count, instances) {
                renewed |= engine.confirm_by_majority(&copy.service, epoch, asked_at);
            }
        }
        if let Some(SampleCopy { stamp, sent: Some(sent) }) = timing.sample {
            engine.group(&copy.service).note_peer_sample(epoch, moment(sent), stamp);
        }
    }
    renewed
}
