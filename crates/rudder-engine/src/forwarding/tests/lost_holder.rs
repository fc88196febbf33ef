//! Holders that are lost, silent or of another build.

use super::counters::CounterRecorder;
use super::fixture::{
    TestInstance, accounts, begin, confirm_primary, forwarded_account, id, instance, introduce,
    introduce_nearer, read, session, write,
};
use super::scripted::{HolderScript, ScriptedHolder};
use crate::forwarding::choice::HolderTarget;
use crate::forwarding::client::ForwardingClient;
use crate::settings::{DatabaseName, KeyDigest};
use crate::statement::{CallerStatement, StatementError, StatementReply, TransactionState};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

async fn origin_of(script: HolderScript) -> (TestInstance, ScriptedHolder) {
    let (origin, holder) = (instance("origin").await, ScriptedHolder::start(script).await);
    introduce(&origin, holder.address).await;
    (origin, holder)
}

/// Runs a transaction with one write and the commit; returns both replies.
async fn transaction(origin: &TestInstance) -> (StatementReply, StatementReply) {
    let mut session = session(origin, "strict").await;
    begin(&mut session).await;
    let written = write(&mut session, "PUT x").await;
    confirm_primary(&origin.engine);
    let committed = session.run(id("c1"), CallerStatement::Commit).await;
    assert_eq!(session.state(), TransactionState::Idle);
    (written, committed)
}

/// A request that was never sent must be served, and only once.
#[tokio::test]
async fn a_holder_that_is_down_costs_nothing() {
    let origin = instance("origin").await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    introduce(&origin, listener.local_addr().expect("an address")).await;
    drop(listener);
    let account = forwarded_account(&origin);
    let mut session = session(&origin, "strict").await;

    let reply = write(&mut session, "PUT x").await;
    let (written, committed) = transaction(&origin).await;

    assert_eq!([reply.error(), written.error(), committed.error()], [None, None, None]);
    let lines = origin.log.lines();
    assert_eq!(lines.iter().filter(|line| line.contains("PUT x")).count(), 2);
    assert_eq!(lines[0], format!("{account}: w1 PUT x floor=-"));
}

/// A read can run again; refusing it would be a needless error.
#[tokio::test]
async fn a_read_whose_holder_is_killed_runs_elsewhere() {
    let (origin, holder) = origin_of(HolderScript::CloseOnRequest).await;
    let mut session = session(&origin, "bounded").await;

    let reply = read(&mut session, "READ x").await;

    assert_eq!(reply.error(), None);
    assert_eq!((holder.request_count(), origin.log.lines().len()), (1, 1));
}

/// The write may have run: a second run or "not run" could change data twice.
#[tokio::test]
async fn a_write_whose_holder_is_killed_is_in_doubt_and_does_not_run_again() {
    let (origin, holder) = origin_of(HolderScript::CloseOnRequest).await;
    let mut session = session(&origin, "strict").await;

    let reply = write(&mut session, "PUT x").await;

    assert_eq!(reply.error(), Some(&StatementError::InDoubt));
    assert_eq!(reply.state, TransactionState::Idle);
    assert_eq!(holder.request_count(), 1);
    assert!(origin.log.lines().is_empty());
}

/// The commit was never sent, so "in doubt" would make the caller check for nothing.
#[tokio::test]
async fn a_transaction_whose_holder_is_killed_before_the_commit_is_aborted() {
    let (origin, holder) = origin_of(HolderScript::CloseOnRequest).await;

    let (written, committed) = transaction(&origin).await;

    assert_eq!(written.error(), Some(&StatementError::Aborted));
    assert_eq!(written.state, TransactionState::Failed);
    assert_eq!(committed.error(), Some(&StatementError::Aborted));
    assert_eq!(holder.request_count(), 1);
    assert!(origin.log.lines().is_empty());
}

/// The commit may have run, so "aborted" could be false.
#[tokio::test]
async fn a_commit_whose_holder_is_killed_is_in_doubt() {
    let (origin, holder) = origin_of(HolderScript::CloseOnSecond).await;

    let (written, committed) = transaction(&origin).await;

    assert_eq!(written.error(), None);
    assert_eq!(committed.error(), Some(&StatementError::InDoubt));
    assert_eq!(committed.state, TransactionState::Idle);
    assert_eq!(holder.request_count(), 2);
    assert!(origin.log.lines().is_empty());
}

/// Without writes a lost commit loses nothing, and "in doubt" would be needless.
#[tokio::test]
async fn a_lost_commit_of_reads_is_aborted() {
    let (origin, _holder) = origin_of(HolderScript::CloseOnSecond).await;
    let mut session = session(&origin, "strict").await;
    begin(&mut session).await;
    read(&mut session, "READ x").await;

    let committed = session.run(id("c1"), CallerStatement::Commit).await;

    assert_eq!(committed.error(), Some(&StatementError::Aborted));
}

/// A connection that is cut without an end must not hold requests until their deadline (3 s).
#[tokio::test]
async fn a_silent_holder_is_lost_after_its_silence() {
    let (origin, _holder) = origin_of(HolderScript::Silent).await;
    let (mut reader, mut writer) =
        (session(&origin, "bounded").await, session(&origin, "strict").await);
    let began_at = Instant::now();

    let (read, written) = tokio::join!(read(&mut reader, "READ x"), write(&mut writer, "PUT x"));

    let took = began_at.elapsed();
    assert!(took > Duration::from_millis(600) && took < Duration::from_millis(1300), "{took:?}");
    assert_eq!(read.error(), None);
    assert_eq!(written.error(), Some(&StatementError::InDoubt));
    assert_eq!(origin.log.lines().len(), 1);
}

/// A link that falls silent between two statements must not leave the caller without a response.
#[tokio::test]
async fn a_holder_that_falls_silent_during_a_transaction_leaves_a_true_outcome() {
    let (origin, _holder) = origin_of(HolderScript::SilentOnSecond).await;
    let began_at = Instant::now();

    let (written, committed) = transaction(&origin).await;

    assert_eq!(written.error(), None);
    assert_eq!(committed.error(), Some(&StatementError::InDoubt));
    assert!(began_at.elapsed() < Duration::from_millis(1300));
}

/// A holder without forwarding must not receive requests, which it would take for something else.
#[tokio::test]
async fn a_holder_of_another_build_is_left_alone() {
    for script in [HolderScript::OtherVersion, HolderScript::OlderBuild] {
        let (origin, holder) = origin_of(script).await;
        let mut session = session(&origin, "strict").await;

        let reply = write(&mut session, "PUT x").await;

        assert_eq!(reply.error(), None, "{script:?}");
        assert_eq!((holder.request_count(), origin.log.lines().len()), (0, 1), "{script:?}");
    }
}

/// Nothing was sent to a member, so the request must be served elsewhere.
#[tokio::test]
async fn a_declined_request_runs_at_the_origin() {
    let (origin, holder) = origin_of(HolderScript::Decline).await;
    let recorder = CounterRecorder::default();
    let _recording = metrics::set_default_local_recorder(&recorder);
    let mut session = session(&origin, "strict").await;

    let reply = write(&mut session, "PUT x").await;

    assert_eq!(reply.error(), None);
    assert_eq!((holder.request_count(), origin.log.lines().len()), (1, 1));
    assert_eq!(recorder.value("rudder_forwarded_total{declined}"), 1);
}

/// A transaction that a holder declines begins elsewhere, and only there.
#[tokio::test]
async fn a_declined_transaction_runs_at_the_origin() {
    let (origin, holder) = origin_of(HolderScript::Decline).await;

    let (written, committed) = transaction(&origin).await;

    assert_eq!((written.error(), committed.error()), (None, None));
    assert_eq!((holder.request_count(), origin.log.lines().len()), (1, 3));
}

/// A reply that is taken for another request's would be a wrong result.
#[tokio::test]
async fn late_and_repeated_replies_are_dropped_and_counted() {
    let (origin, _holder) = origin_of(HolderScript::Repeat).await;
    let recorder = CounterRecorder::default();
    let _recording = metrics::set_default_local_recorder(&recorder);
    let mut session = session(&origin, "bounded").await;

    for _ in 0..3 {
        assert_eq!(read(&mut session, "READ x").await.error(), None);
    }
    tokio::time::sleep(Duration::from_millis(50)).await;

    assert_eq!(recorder.value("rudder_forward_replies_dropped_total{}"), 6);
    assert_eq!(recorder.value("rudder_forwarded_total{served}"), 3);
}

/// Bytes that are no message end the connection; they must not end the process or be guessed at.
#[tokio::test]
async fn a_malformed_reply_is_counted_and_its_write_is_in_doubt() {
    let (origin, _holder) = origin_of(HolderScript::Garbage).await;
    let recorder = CounterRecorder::default();
    let _recording = metrics::set_default_local_recorder(&recorder);
    let mut session = session(&origin, "strict").await;

    let reply = write(&mut session, "PUT x").await;

    assert_eq!(reply.error(), Some(&StatementError::InDoubt));
    assert_eq!(recorder.value("rudder_forward_frames_rejected_total{malformed}"), 1);
    assert_eq!(recorder.value("rudder_forwarded_total{in_doubt}"), 1);
}

/// The read may have run at the lost holder, so "not run" would be false.
#[tokio::test]
async fn a_lost_read_that_cannot_run_elsewhere_is_not_reported_as_not_run() {
    let (origin, holder) = origin_of(HolderScript::CloseOnRequest).await;
    let mut session = session(&origin, "bounded").await;
    let group = origin.engine.group(&"records".parse().expect("a name"));
    for member in group.members() {
        member.pool().set_share(rudder_decisions::ConnectionShare(0), false);
    }

    let reply = read(&mut session, "READ x").await;

    assert_eq!(holder.request_count(), 1);
    assert_eq!(reply.error(), Some(&StatementError::TimedOut));
}

/// If all instances dialed while the holders are overloaded, the member would refuse connections.
#[tokio::test]
async fn requests_are_rejected_as_not_run_while_all_holders_are_overloaded() {
    let (origin, holder) =
        (instance("origin").await, ScriptedHolder::start(HolderScript::Decline).await);
    introduce_nearer(&origin, &[holder.address; 4]).await;
    let (mut first, mut second) =
        (session(&origin, "strict").await, session(&origin, "strict").await);

    let reply = write(&mut first, "PUT x").await;
    begin(&mut second).await;
    let begun = write(&mut second, "PUT y").await;
    let commit = second.run(id("c1"), CallerStatement::Commit).await;

    assert_eq!((reply.error(), reply.state), (Some(&StatementError::Busy), TransactionState::Idle));
    assert!(format!("{reply:?}").contains("not run, retry after"), "{reply:?}");
    assert_eq!(begun.error(), Some(&StatementError::Busy));
    assert_eq!(begun.state, TransactionState::Failed);
    assert_eq!(commit.error(), Some(&StatementError::Aborted));
    assert_eq!((holder.request_count(), origin.log.lines().len()), (4, 0));
}

/// The next holder has the account's connections, too; this instance would have to open one.
#[tokio::test]
async fn a_request_goes_to_the_next_holder_after_one_that_is_lost_or_declines() {
    for script in [HolderScript::Decline, HolderScript::OtherVersion, HolderScript::CloseOnRequest]
    {
        let (origin, scripted, holder) =
            (instance("origin").await, ScriptedHolder::start(script).await, instance("h").await);
        introduce_nearer(&origin, &[scripted.address, holder.address]).await;

        // Each of the two is the first holder of some of the accounts.
        for account in accounts() {
            let (database, key) = (DatabaseName("bounded".to_owned()), KeyDigest::of(&account));
            let opened = origin.engine.open_session(database, key).await;
            let reply = read(&mut opened.expect("a session"), "READ x").await;
            assert_eq!(reply.error(), None, "{script:?}");
        }

        assert_eq!(holder.log.lines().len(), accounts().len(), "{script:?}");
        assert!(origin.log.lines().is_empty(), "{script:?}");
        let is_turned_away = script == HolderScript::OtherVersion;
        assert_eq!(scripted.request_count() == 0, is_turned_away, "{script:?}");
    }
}

/// A large account's requests would all wait in vain at its first holder while others are free.
#[tokio::test]
async fn a_holder_at_which_a_request_waited_in_vain_is_passed_over() {
    let (origin, busy, holder) = (
        instance("origin").await,
        ScriptedHolder::start(HolderScript::Busy).await,
        instance("h").await,
    );
    introduce_nearer(&origin, &[busy.address, holder.address]).await;

    let mut refused = 0;
    for account in accounts() {
        for _ in 0..2 {
            let (database, key) = (DatabaseName("bounded".to_owned()), KeyDigest::of(&account));
            let opened = origin.engine.open_session(database, key).await;
            let reply = read(&mut opened.expect("a session"), "READ x").await;
            refused += usize::from(reply.error() == Some(&StatementError::Busy));
        }
    }

    assert_eq!(refused, busy.request_count());
    assert!((1..=accounts().len()).contains(&refused), "{refused} requests were refused");
    assert_eq!(holder.log.lines().len(), 2 * accounts().len() - refused);
}

/// Requests that come together while a connection fails would each try to open it again, one after
/// the other, for 300 ms each at a holder that is silent.
#[tokio::test]
async fn requests_that_come_together_open_one_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    let address = listener.local_addr().expect("an address");
    let holder = HolderTarget { instance: "holder".parse().expect("a name"), address };
    let client = ForwardingClient::default();

    for _ in 0..8 {
        assert!(client.connection(&holder).is_err());
    }
    let mut accepted = 0;
    while let Ok(Ok(connection)) =
        tokio::time::timeout(Duration::from_millis(200), listener.accept()).await
    {
        drop(connection);
        accepted += 1;
    }

    assert_eq!(accepted, 1);
}
