//! Isolation of transactions and their conflicts.

use crate::support::{connect, group, sqlstate};

/// Two transactions increment the same counter. The second to commit must fail, as otherwise one of
/// the two increments would be lost.
#[tokio::test]
async fn the_first_of_two_conflicting_updates_to_commit_wins() {
    let group = group().await;
    let (first, second) = (connect(&group, 0).await, connect(&group, 0).await);
    first.batch_execute("CREATE TABLE t (id int PRIMARY KEY, n int)").await.unwrap();
    first.batch_execute("INSERT INTO t VALUES (1, 0), (2, 0)").await.unwrap();

    for client in [&first, &second] {
        client.batch_execute("BEGIN; UPDATE t SET n = n + 1 WHERE id = 1").await.unwrap();
    }
    let first_commit = second.batch_execute("COMMIT").await;
    let second_commit = first.batch_execute("COMMIT").await;
    first.batch_execute("BEGIN; UPDATE t SET n = 5 WHERE id = 1").await.unwrap();
    second.batch_execute("UPDATE t SET n = 6 WHERE id = 2").await.unwrap();
    let other_row = first.batch_execute("COMMIT").await;

    assert!(first_commit.is_ok() && other_row.is_ok());
    assert_eq!(sqlstate(second_commit), "40001");
}

/// Two transactions insert the same key. Both inserts succeed, since neither sees the other; only
/// one may commit, and the other must fail with an error that names the constraint.
#[tokio::test]
async fn one_of_two_concurrent_inserts_of_a_key_commits() {
    let group = group().await;
    let (first, second) = (connect(&group, 0).await, connect(&group, 0).await);
    first.batch_execute("CREATE TABLE keys (key text PRIMARY KEY)").await.unwrap();

    for client in [&first, &second] {
        client.batch_execute("BEGIN; INSERT INTO keys VALUES ('k1')").await.unwrap();
    }
    first.batch_execute("COMMIT").await.unwrap();
    let error = second.batch_execute("COMMIT").await.unwrap_err();
    let skipped =
        second.execute("INSERT INTO keys VALUES ('k1') ON CONFLICT DO NOTHING", &[]).await;

    let error = error.as_db_error().unwrap();
    assert_eq!(error.code().code(), "23505");
    assert!(error.message().contains("keys_pkey"), "{}", error.message());
    assert_eq!(skipped.unwrap(), 0);
}

#[tokio::test]
async fn a_snapshot_does_not_see_later_commits() {
    let group = group().await;
    let (mut reader, writer) = (connect(&group, 0).await, connect(&group, 0).await);
    writer.batch_execute("CREATE TABLE t (id int PRIMARY KEY)").await.unwrap();

    let transaction = reader.transaction().await.unwrap();
    let before = transaction.query("SELECT id FROM t", &[]).await.unwrap().len();
    writer.batch_execute("INSERT INTO t VALUES (1)").await.unwrap();
    let within = transaction.query("SELECT id FROM t", &[]).await.unwrap().len();
    transaction.commit().await.unwrap();
    let after = reader.query("SELECT id FROM t", &[]).await.unwrap().len();

    assert_eq!((before, within, after), (0, 0, 1));
}

#[tokio::test]
async fn a_transaction_continues_after_rollback_to_a_savepoint() {
    let group = group().await;
    let client = connect(&group, 0).await;
    client.batch_execute("CREATE TABLE t (id int PRIMARY KEY)").await.unwrap();

    client.batch_execute("BEGIN; INSERT INTO t VALUES (1); SAVEPOINT s").await.unwrap();
    let failed = client.batch_execute("INSERT INTO t VALUES (2), (1)").await;
    client.batch_execute("ROLLBACK TO s; INSERT INTO t VALUES (3); COMMIT").await.unwrap();
    let rows = client.query("SELECT id FROM t ORDER BY id", &[]).await.unwrap();

    assert_eq!(sqlstate(failed), "23505");
    assert_eq!(rows.iter().map(|row| row.get(0)).collect::<Vec<i32>>(), [1, 3]);
}

/// Single statements run and commit atomically: concurrent increments of one counter outside of
/// transactions must all succeed, and none may be lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn single_statements_do_not_conflict() {
    let group = group().await;
    let client = connect(&group, 0).await;
    client.batch_execute("CREATE TABLE t (id int PRIMARY KEY, n int)").await.unwrap();
    client.batch_execute("INSERT INTO t VALUES (1, 0)").await.unwrap();

    let mut tasks = Vec::new();
    for _ in 0..8 {
        let client = connect(&group, 0).await;
        tasks.push(tokio::spawn(async move {
            for _ in 0..20 {
                client.execute("UPDATE t SET n = n + 1 WHERE id = $1", &[&1_i32]).await.unwrap();
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    let row = client.query_one("SELECT n FROM t", &[]).await.unwrap();

    assert_eq!(row.get::<_, i32>(0), 160);
}
