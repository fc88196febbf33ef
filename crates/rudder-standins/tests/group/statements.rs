//! SQL statements that a standard client runs at a member.

use crate::support::{connect, group, sqlstate, wait_applied};
use rudder_core::LogStamp;
use tokio_postgres::SimpleQueryMessage;

#[tokio::test]
async fn simple_statements_read_and_write() {
    let group = group().await;
    let client = connect(&group, 0).await;

    client
        .batch_execute(
            "CREATE TABLE pages (id int PRIMARY KEY, title text UNIQUE, claimed bool DEFAULT false);
             INSERT INTO pages VALUES (1, 'kyrie'), (2, 'gloria'), (3, 'credo');
             UPDATE pages SET claimed = true WHERE id >= 2;
             DELETE FROM pages WHERE title = 'credo'",
        )
        .await
        .unwrap();
    let messages =
        client.simple_query("SELECT * FROM pages ORDER BY id DESC LIMIT 1").await.unwrap();

    let [_, SimpleQueryMessage::Row(row), SimpleQueryMessage::CommandComplete(1)] =
        messages.as_slice()
    else {
        panic!("unexpected messages: {messages:?}");
    };
    assert_eq!(
        (row.get("id"), row.get("title"), row.get("claimed")),
        (Some("2"), Some("gloria"), Some("t"))
    );
}

#[tokio::test]
async fn parameters_are_sent_in_binary() {
    let group = group().await;
    let client = connect(&group, 0).await;
    client
        .batch_execute("CREATE TABLE t (id int8 PRIMARY KEY, n int4, note text, done bool)")
        .await
        .unwrap();

    let inserted = client
        .query_one(
            "INSERT INTO t (id, n, note, done) VALUES ($1, $2, $3, $4) RETURNING n, note",
            &[&7_i64, &11_i32, &"crack", &true],
        )
        .await
        .unwrap();
    let updated = client.execute("UPDATE t SET n = n + $1 WHERE id = $2", &[&1_i32, &7_i64]).await;
    let row = client.query_one("SELECT n, done FROM t WHERE id = $1", &[&7_i64]).await.unwrap();
    let cast = client.query_one("SELECT $1::int4", &[&5_i32]).await.unwrap();
    let count = client.query_one("SELECT count(*) FROM t", &[]).await.unwrap();

    assert_eq!((inserted.get::<_, i32>(0), inserted.get::<_, &str>(1)), (11, "crack"));
    assert_eq!(updated.unwrap(), 1);
    assert_eq!((row.get::<_, i32>(0), row.get::<_, bool>(1)), (12, true));
    assert_eq!((cast.get::<_, i32>(0), count.get::<_, i64>(0)), (5, 1));
}

#[tokio::test]
async fn errors_have_their_sqlstates() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let replica = connect(&group, 1).await;
    client.batch_execute("CREATE TABLE t (id int PRIMARY KEY)").await.unwrap();
    wait_applied(&group, 1, LogStamp::new(1, 1)).await;

    let codes = [
        sqlstate(client.batch_execute("INSERT INTO t VALUES (1), (1)").await),
        sqlstate(client.batch_execute("SELECT * FROM nowhere").await),
        sqlstate(client.batch_execute("SELEC 1").await),
        sqlstate(replica.batch_execute("CREATE TABLE u (id int)").await),
        sqlstate(replica.batch_execute("SELECT id FROM t FOR UPDATE").await),
        sqlstate(replica.batch_execute("SELECT nextval('numbers')").await),
        sqlstate(client.batch_execute("BEGIN READ ONLY; INSERT INTO t VALUES (3)").await),
    ];

    assert_eq!(codes, ["23505", "42P01", "42601", "25006", "25006", "25006", "25006"]);
}

#[tokio::test]
async fn conflicting_inserts_update_or_skip() {
    let group = group().await;
    let client = connect(&group, 0).await;
    client
        .batch_execute("CREATE TABLE t (name text UNIQUE, n int NOT NULL, id serial)")
        .await
        .unwrap();
    client.batch_execute("INSERT INTO t VALUES ('a', 1), ('b', 2)").await.unwrap();

    let skipped = client
        .query("INSERT INTO t VALUES ('a', 5), ('c', 3) ON CONFLICT DO NOTHING RETURNING name", &[])
        .await
        .unwrap();
    let raised = client
        .query_one(
            "INSERT INTO t (name, n) VALUES ('b', 5)
             ON CONFLICT (name) DO UPDATE SET n = t.n + excluded.n RETURNING n",
            &[],
        )
        .await
        .unwrap();
    let missing = client.batch_execute("INSERT INTO t (name) VALUES ('d')").await;
    let sums = client.query_one("SELECT count(*), sum(n), min(name) FROM t", &[]).await.unwrap();

    assert_eq!(skipped.iter().map(|row| row.get(0)).collect::<Vec<&str>>(), ["c"]);
    assert_eq!(raised.get::<_, i32>(0), 7);
    assert_eq!(sqlstate(missing), "23502");
    assert_eq!((sums.get::<_, i64>(0), sums.get::<_, i64>(1), sums.get(2)), (3, 11, "a"));
}
