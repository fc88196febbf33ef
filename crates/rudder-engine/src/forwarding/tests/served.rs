//! Requests that a holder serves.

use super::fixture::{
    FAILING, LARGE, LARGE_ROW, accounts, begin, forwarded_account, id, instance, introduce,
    list_nearer, pair, read, session, settings, write,
};
use crate::identity::DrainPhase;
use crate::statement::{
    CallerStatement, PreparedStatement, SessionValue, StatementEffect, StatementError,
    TransactionState,
};
use rudder_core::{ByteSize, LogStamp};
use std::time::Duration;

/// The member must receive a caller's id and text as they are, under the caller's account.
#[tokio::test]
async fn a_read_runs_at_the_holder_with_its_id_and_text() {
    let (origin, holder) = pair().await;
    let mut session = session(&origin, "bounded").await;

    let reply = read(&mut session, "READ  x ;").await;

    let account = forwarded_account(&origin);
    assert_eq!(reply.error(), None);
    assert_eq!((reply.rows, reply.state), (vec!["row".to_owned()], TransactionState::Idle));
    assert_eq!(holder.log.lines(), [format!("{account}: r1 READ  x ; floor=1:7")]);
    assert!(origin.log.lines().is_empty());
}

/// Without the position in the reply, a session would not see its own forwarded write.
#[tokio::test]
async fn a_forwarded_write_raises_the_floor_of_its_session() {
    let (origin, holder) = pair().await;
    let mut session = session(&origin, "own").await;

    let reply = write(&mut session, "PUT x").await;
    assert_eq!((reply.error(), reply.position), (None, Some(LogStamp::new(1, 9))));
    read(&mut session, "READ x").await;

    let account = forwarded_account(&origin);
    let lines = holder.log.lines();
    assert!(lines.contains(&format!("{account}: w1 PUT x floor=-")), "{lines:?}");
    assert!(lines.contains(&format!("{account}: r1 READ x floor=1:9")), "{lines:?}");
    assert!(origin.log.lines().is_empty());
}

/// A statement without its session's values and prepared statement would return other rows.
#[tokio::test]
async fn session_values_and_prepared_statements_reach_the_holder() {
    let (origin, holder) = pair().await;
    let mut session = session(&origin, "strict").await;
    let value = SessionValue { name: "zone".to_owned(), value: "east".to_owned() };
    session.run(id("s1"), CallerStatement::SetValue(value)).await;
    let prepared = PreparedStatement { effect: StatementEffect::Read, text: "READ $1".to_owned() };
    let prepare = CallerStatement::Prepare { name: "p".to_owned(), prepared };
    session.run(id("s2"), prepare).await;

    let execute = CallerStatement::Execute { name: "p".to_owned(), arguments: "7".to_owned() };
    let reply = session.run(id("e1"), execute).await;

    let account = forwarded_account(&origin);
    let expected = ["set zone=east", "prepare READ $1", "e1 r_READ $1(7) floor=1:7"];
    assert_eq!(reply.error(), None);
    assert_eq!(holder.log.lines(), expected.map(|line| format!("{account}: {line}")));
}

/// A transaction whose statements run on different connections is none.
#[tokio::test]
async fn a_transaction_runs_at_one_holder_until_its_commit() {
    let (origin, holder) = pair().await;
    let mut session = session(&origin, "strict").await;

    begin(&mut session).await;
    let first = write(&mut session, "PUT x").await;
    let second = read(&mut session, "READ x").await;
    let commit = session.run(id("c1"), CallerStatement::Commit).await;

    let account = forwarded_account(&origin);
    let states = [first.state, second.state, commit.state];
    assert_eq!(states, [TransactionState::Open, TransactionState::Open, TransactionState::Idle]);
    assert_eq!((commit.error(), session.state()), (None, TransactionState::Idle));
    let expected = ["begin read_only=false", "w1 PUT x floor=-", "r1 READ x floor=-"];
    let expected = expected.into_iter().chain(["c1 commit floor=-"]);
    let expected: Vec<String> = expected.map(|line| format!("{account}: {line}")).collect();
    assert_eq!(holder.log.lines(), expected);
    assert!(origin.log.lines().is_empty());
}

/// A transaction that stays open at the holder keeps its locks and its connection.
#[tokio::test]
async fn a_rollback_a_lost_caller_and_a_revoked_key_roll_back_at_the_holder() {
    for end in ["rollback", "disconnect", "revoked", "expired"] {
        let (origin, holder) = pair().await;
        let account = forwarded_account(&origin);
        let mut session = session(&origin, "strict").await;
        begin(&mut session).await;
        write(&mut session, "PUT x").await;

        match end {
            "rollback" => {
                let reply = session.run(id("x1"), CallerStatement::Rollback).await;
                assert_eq!((reply.error(), reply.state), (None, TransactionState::Idle));
            }
            "disconnect" => drop(session),
            "revoked" => {
                let mut left = accounts();
                left.retain(|name| *name != account);
                origin.engine.apply_settings(settings(2, &left, 10));
                let reply = write(&mut session, "PUT y").await;
                assert_eq!(reply.error(), Some(&StatementError::Unauthorized));
                assert_eq!(reply.state, TransactionState::Failed);
            }
            _ => {
                session.expire_transaction();
                let reply = write(&mut session, "PUT y").await;
                assert_eq!(reply.error(), Some(&StatementError::Aborted));
            }
        }

        holder.log.wait_for(&format!("{account}: rollback")).await;
        assert!(!holder.log.lines().iter().any(|line| line.contains("PUT y")), "{end}");
    }
}

/// A caller that disconnects while its statement runs leaves no transaction behind.
#[tokio::test]
async fn a_caller_lost_during_a_statement_of_a_transaction_rolls_back_after_it() {
    let (origin, holder) = pair().await;
    let account = forwarded_account(&origin);
    let mut session = session(&origin, "strict").await;
    begin(&mut session).await;

    let slow = write(&mut session, super::fixture::SLOW);
    let cut = tokio::time::timeout(Duration::from_millis(100), slow).await;
    assert!(cut.is_err(), "the statement takes longer");
    drop(session);

    holder.log.wait_for(&format!("{account}: rollback")).await;
}

/// An error within a transaction must abort it at both instances.
#[tokio::test]
async fn a_failed_statement_aborts_the_transaction_at_the_holder() {
    let (origin, holder) = pair().await;
    let account = forwarded_account(&origin);
    let mut session = session(&origin, "strict").await;
    begin(&mut session).await;

    let reply = write(&mut session, FAILING).await;
    let commit = session.run(id("c1"), CallerStatement::Commit).await;

    assert_eq!(reply.error(), Some(&StatementError::Failed));
    assert_eq!(reply.state, TransactionState::Failed);
    assert_eq!(commit.error(), Some(&StatementError::Aborted));
    holder.log.wait_for(&format!("{account}: rollback")).await;
    assert!(!holder.log.lines().iter().any(|line| line.contains("commit")));
}

/// A draining holder that accepts new work loses it when it ends, and one that drops its open
/// transactions at once aborts them needlessly.
#[tokio::test]
async fn a_draining_holder_declines_new_work_and_finishes_a_transaction() {
    let (origin, holder) = pair().await;
    let mut open = session(&origin, "strict").await;
    let mut other = session(&origin, "strict").await;
    begin(&mut open).await;
    write(&mut open, "PUT x").await;

    holder.engine.set_drain_phase(DrainPhase::Leaving);
    let new = write(&mut other, "PUT new").await;
    let commit = open.run(id("c1"), CallerStatement::Commit).await;

    let account = forwarded_account_in_log(&origin.log.lines());
    assert_eq!((new.error(), commit.error()), (None, None));
    assert_eq!(origin.log.lines(), [format!("{account}: w1 PUT new floor=-")]);
    assert!(holder.log.lines().contains(&format!("{account}: c1 commit floor=-")));
    assert!(holder.engine.forwarding().work().is_idle());
}

/// A transaction that outlasts its part of the grace time would be cut by the end of the process.
#[tokio::test]
async fn a_closing_holder_rolls_open_transactions_back() {
    let (origin, holder) = pair().await;
    let account = forwarded_account(&origin);
    let mut session = session(&origin, "strict").await;
    begin(&mut session).await;
    write(&mut session, "PUT x").await;

    holder.engine.set_drain_phase(DrainPhase::Leaving);
    holder.engine.set_drain_phase(DrainPhase::Closing);
    holder.log.wait_for(&format!("{account}: rollback")).await;
    let commit = session.run(id("c1"), CallerStatement::Commit).await;

    assert_eq!(commit.error(), Some(&StatementError::Aborted));
    assert_eq!(commit.state, TransactionState::Idle);
    assert!(holder.engine.forwarding().work().is_idle());
}

/// An instance that drains still serves the transactions of its callers at their holders.
#[tokio::test]
async fn a_draining_origin_finishes_a_forwarded_transaction() {
    let (origin, holder) = pair().await;
    let account = forwarded_account(&origin);
    let mut session = session(&origin, "strict").await;
    begin(&mut session).await;
    write(&mut session, "PUT x").await;

    origin.engine.set_drain_phase(DrainPhase::Leaving);
    let commit = session.run(id("c1"), CallerStatement::Commit).await;

    assert_eq!(commit.error(), None);
    assert!(holder.log.lines().contains(&format!("{account}: c1 commit floor=-")));
}

/// Deployments whose connections suffice must not pay for a second instance.
#[tokio::test]
async fn nothing_is_forwarded_while_connections_suffice() {
    let (origin, holder) = (instance("origin").await, instance("holder").await);
    introduce(&origin, holder.address).await;
    let account = forwarded_account(&origin);
    // Two instances and eight accounts.
    origin.engine.apply_settings(settings(2, &accounts(), 16));
    let key = crate::settings::KeyDigest::of(&account);
    let database = crate::settings::DatabaseName("strict".to_owned());
    let mut session = origin.engine.open_session(database, key).await.expect("a session");

    let reply = write(&mut session, "PUT x").await;

    assert_eq!(reply.error(), None);
    assert_eq!(origin.log.lines(), [format!("{account}: w1 PUT x floor=-")]);
    assert!(holder.log.lines().is_empty());
}

/// Returns the account in the first line of a log.
fn forwarded_account_in_log(lines: &[String]) -> String {
    lines[0].split(':').next().expect("an account").to_owned()
}

/// A request that waits for a connection between regions to open misses its latency target.
#[tokio::test]
async fn a_request_runs_at_the_origin_until_the_connection_to_its_holder_is_open() {
    let (origin, holder) = (instance("origin").await, instance("holder").await);
    list_nearer(&origin, &[holder.address; 4]);
    let mut session = session(&origin, "bounded").await;

    let first = read(&mut session, "READ x").await;
    let opened = async {
        while holder.log.lines().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
            assert_eq!(read(&mut session, "READ y").await.error(), None);
        }
    };

    assert_eq!(first.error(), None);
    assert!(origin.log.lines()[0].contains("READ x"), "{:?}", origin.log.lines());
    tokio::time::timeout(Duration::from_secs(2), opened).await.expect("a forwarded request");
}

/// Guards against replies to other instances that exceed the memory of the holder together.
#[tokio::test]
async fn a_large_reply_without_memory_is_not_sent_and_small_ones_are() {
    let (origin, holder) = pair().await;
    let mut session = session(&origin, "bounded").await;
    let replies = holder.engine.caller_memory().replies();
    let mut others = replies.reservation(ByteSize(0));
    let limit = holder.engine.identity().machine.reply_memory();

    read(&mut session, LARGE).await;
    let forwarded = origin.log.lines().is_empty();
    others.resize(limit).expect("all of it is free");
    let served = read(&mut session, LARGE).await;
    let own_runs = origin.log.lines().len();
    let small = read(&mut session, "READ x").await;

    assert!(forwarded, "the first read did not run at the holder");
    assert_eq!(served.rows.first().map(String::len), Some(LARGE_ROW));
    assert_eq!(own_runs, 1, "the holder sent a reply for which it had no memory");
    assert_eq!(small.error(), None);
}
