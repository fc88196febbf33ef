//! Replication, terms, roles and fencing.

use crate::support::{
    connect, fence, follow, group, name, promote, sqlstate, status, try_connect, wait_applied,
};
use rudder_core::{ControlStatement, LogStamp, LogTerm, MemberRole};
use rudder_standins::MemberKnob;
use std::time::Duration;
use tokio_postgres::SimpleQueryMessage;

#[tokio::test]
async fn replicas_apply_what_the_primary_commits() {
    let group = group().await;
    let (primary, replica) = (connect(&group, 0).await, connect(&group, 1).await);

    primary.batch_execute("CREATE TABLE t (id int); INSERT INTO t VALUES (1)").await.unwrap();
    wait_applied(&group, 1, LogStamp::new(1, 1)).await;
    let count = replica.query_one("SELECT count(*) FROM t", &[]).await.unwrap();
    let recovering = replica.query_one("SELECT pg_is_in_recovery()", &[]).await.unwrap();

    assert_eq!((count.get::<_, i64>(0), recovering.get::<_, bool>(0)), (1, true));
    assert_eq!(status(&group, 1).role, MemberRole::Replica);
}

/// A replica that has received an entry but not applied it does not show the committed row to
/// readers, and its status must report the received and the applied position separately.
#[tokio::test]
async fn a_lagging_replica_reports_received_before_applied() {
    let group = group().await;
    let (primary, replica) = (connect(&group, 0).await, connect(&group, 1).await);
    primary.batch_execute("CREATE TABLE t (id int)").await.unwrap();
    wait_applied(&group, 1, LogStamp::new(1, 1)).await;
    group.turn(&name(1), MemberKnob::ApplyLag(Duration::from_secs(600))).unwrap();

    primary.batch_execute("INSERT INTO t VALUES (1)").await.unwrap();
    while status(&group, 1).received != LogStamp::new(1, 2) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let before = replica.query_one("SELECT count(*) FROM t", &[]).await.unwrap();
    let applied_before = status(&group, 1).applied;
    group.turn(&name(1), MemberKnob::ApplyLag(Duration::ZERO)).unwrap();
    wait_applied(&group, 1, LogStamp::new(1, 2)).await;

    assert_eq!((before.get::<_, i64>(0), applied_before), (0, LogStamp::new(1, 1)));
}

/// A fenced primary must reject writes and commits of earlier transactions without effect. It must
/// not report itself primary: it would be taken for the primary of the fence's term, and replicas
/// that lack commits of the actual primary would appear up to date.
#[tokio::test]
async fn a_fenced_primary_commits_nothing() {
    let group = group().await;
    let client = connect(&group, 0).await;
    client.batch_execute("CREATE TABLE t (id int)").await.unwrap();
    client.batch_execute("BEGIN; INSERT INTO t VALUES (1)").await.unwrap();

    fence(&group, 0, 7);
    let commit = client.batch_execute("COMMIT").await;
    let write = client.batch_execute("INSERT INTO t VALUES (2)").await;
    let transaction = client.batch_execute("BEGIN; INSERT INTO t VALUES (3)").await;
    client.batch_execute("ROLLBACK").await.unwrap();
    let lower = client.batch_execute("SELECT rudder.fence(6)").await.unwrap_err();

    assert_eq!([commit, write, transaction].map(sqlstate), ["RU001", "RU001", "RU001"]);
    assert_eq!(lower.as_db_error().unwrap().message(), "term 7 has been accepted");
    assert_eq!(status(&group, 0).received, LogStamp::new(1, 1));
    assert_eq!(status(&group, 0).role, MemberRole::Replica);
}

/// An isolated primary commits a row that no replica receives, and another member is promoted. When
/// the old primary follows the new one, it must discard that row and apply the rows committed
/// meanwhile.
#[tokio::test]
async fn a_follower_discards_entries_that_its_primary_lacks() {
    let group = group().await;
    let old = connect(&group, 0).await;
    old.batch_execute("CREATE TABLE t (id int PRIMARY KEY, note text)").await.unwrap();
    old.batch_execute("INSERT INTO t VALUES (1, 'kept')").await.unwrap();
    wait_applied(&group, 1, LogStamp::new(1, 2)).await;
    group.turn(&name(0), MemberKnob::Cut(true)).unwrap();
    old.batch_execute("INSERT INTO t VALUES (3, 'lost')").await.unwrap();
    old.batch_execute("UPDATE t SET note = 'changed' WHERE id = 1").await.unwrap();

    fence(&group, 1, 2);
    fence(&group, 2, 2);
    let promoted = promote(&group, 1, 2);
    assert_eq!(promote(&group, 1, 2), promoted);
    follow(&group, 2, 2, 1);
    let new = connect(&group, 1).await;
    new.batch_execute("INSERT INTO t VALUES (2, 'new')").await.unwrap();
    follow(&group, 0, 2, 1);
    let diverged = status(&group, 0).received;
    group.turn(&name(0), MemberKnob::Cut(false)).unwrap();
    wait_applied(&group, 0, LogStamp::new(2, 4)).await;
    wait_applied(&group, 2, LogStamp::new(2, 4)).await;
    let rows = old.query("SELECT note FROM t ORDER BY id", &[]).await.unwrap();

    let notes: Vec<&str> = rows.iter().map(|row| row.get(0)).collect();
    assert_eq!(notes, ["kept", "new"]);
    assert_eq!(promoted.received, LogStamp::new(2, 3));
    assert_eq!(diverged, LogStamp::new(1, 4));
    assert_eq!(status(&group, 0).role, MemberRole::Replica);
}

#[tokio::test]
async fn promotion_needs_exactly_the_accepted_term() {
    let group = group().await;
    fence(&group, 1, 5);

    let lower = group.control(&name(1), &ControlStatement::Promote(LogTerm(4)));
    let higher = group.control(&name(1), &ControlStatement::Promote(LogTerm(6)));
    let exact = promote(&group, 1, 5);

    assert!(lower.is_err() && higher.is_err());
    assert_eq!((exact.role, exact.received), (MemberRole::Primary, LogStamp::new(5, 1)));
}

/// A proxy requests the status in the same round trip as a statement. The status must be returned
/// even if that statement or its transaction has failed.
#[tokio::test]
async fn control_statements_work_in_any_transaction_state() {
    let group = group().await;
    let client = connect(&group, 1).await;
    client.batch_execute("BEGIN").await.unwrap();
    client.batch_execute("SELECT * FROM nowhere").await.unwrap_err();

    let response = client.simple_query("SHOW rudder.status").await.unwrap();
    let refused = client.batch_execute("SELECT 1").await;

    let row = response.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => Some(row),
        _ => None,
    });
    let row = row.unwrap();
    assert_eq!((row.get("role"), row.get("accepted_term")), (Some("replica"), Some("1")));
    assert_eq!(sqlstate(refused), "25P02");
}

/// A restarted member keeps its committed entries but must not act as primary before it is promoted
/// again, since another member may have become primary meanwhile.
#[tokio::test]
async fn a_restarted_member_keeps_its_log_but_not_its_role() {
    let group = group().await;
    let client = connect(&group, 0).await;
    client.batch_execute("CREATE TABLE t (id int)").await.unwrap();

    group.turn(&name(0), MemberKnob::Kill).unwrap();
    let disconnected = client.batch_execute("SELECT 1").await;
    let refused = try_connect(&group, 0).await;
    group.turn(&name(0), MemberKnob::Restart).unwrap();
    let client = loop {
        match try_connect(&group, 0).await {
            Ok(client) => break client,
            Err(_) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    };
    let write = client.batch_execute("INSERT INTO t VALUES (1)").await;

    assert!(disconnected.is_err() && refused.is_err());
    assert_eq!(sqlstate(write), "25006");
    assert_eq!(status(&group, 0).received, LogStamp::new(1, 1));
}
