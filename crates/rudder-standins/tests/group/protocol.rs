//! Order of protocol messages, effects of batches, `COPY`, cancellation and session settings.

use crate::raw::{RawClient, execute_messages, query, sync};
use crate::support::{connect, group, sqlstate, status};
use futures::{SinkExt, StreamExt, TryStreamExt};
use rudder_core::LogStamp;
use std::pin::pin;
use tokio_postgres::{AsyncMessage, NoTls};

/// After the second statement of a batch fails, the third must not run, the first must be rolled
/// back, and the next batch must work.
#[tokio::test]
async fn an_error_skips_the_rest_of_a_batch() {
    let group = group().await;
    let mut client = RawClient::connect(&group, 0).await;
    client.send(vec![query("CREATE TABLE t (id int PRIMARY KEY)")]).await;
    client.response_types(1).await;

    let mut batch = execute_messages("INSERT INTO t VALUES (1)", 0);
    batch.extend(execute_messages("INSERT INTO t VALUES (1)", 0));
    batch.extend(execute_messages("INSERT INTO t VALUES (2)", 0));
    batch.push(sync());
    batch.extend(execute_messages("SELECT id FROM t", 0));
    batch.push(sync());
    client.send(batch).await;
    let types = client.response_types(2).await;

    assert_eq!(types, "12C12EZI12CZI");
    assert_eq!(status(&group, 0).received, LogStamp::new(1, 1));
}

#[tokio::test]
async fn statements_of_one_query_are_one_transaction() {
    let group = group().await;
    let mut client = RawClient::connect(&group, 0).await;

    client
        .send(vec![
            query("CREATE TABLE t (id int PRIMARY KEY); INSERT INTO t VALUES (1), (1)"),
            query("SELECT 1; SELECT 2"),
            query("BEGIN; SELECT 1"),
            query("SELECT * FROM t"),
            query("SHOW rudder.status"),
            query("COMMIT"),
            query(""),
        ])
        .await;
    let types = client.response_types(7).await;

    assert_eq!(types, "CEZITDCTDCZICTDCZTEZETDCZECZIIZI");
}

#[tokio::test]
async fn a_portal_returns_its_rows_in_parts() {
    let group = group().await;
    let mut client = connect(&group, 0).await;
    let transaction = client.transaction().await.unwrap();
    let statement = transaction.prepare("SELECT generate_series(1, 5)").await.unwrap();
    let portal = transaction.bind(&statement, &[]).await.unwrap();

    let mut row_counts = Vec::new();
    for _ in 0..3 {
        row_counts.push(transaction.query_portal(&portal, 2).await.unwrap().len());
    }

    assert_eq!(row_counts, [2, 2, 1]);
}

#[tokio::test]
async fn large_results_are_streamed() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let parameters: [&str; 0] = [];

    let rows = client
        .query_raw(
            "SELECT generate_series, repeat('x', 100) FROM generate_series(1, 100000)",
            parameters,
        )
        .await
        .unwrap();
    let mut rows = pin!(rows);
    let mut sum = 0;
    while let Some(row) = rows.try_next().await.unwrap() {
        sum += row.get::<_, i64>(0);
    }

    assert_eq!(sum, 5_000_050_000);
}

#[tokio::test]
async fn copy_works_in_both_directions() {
    let group = group().await;
    let client = connect(&group, 0).await;
    client.batch_execute("CREATE TABLE t (id int PRIMARY KEY, note text)").await.unwrap();

    let sink = client.copy_in::<_, bytes::Bytes>("COPY t FROM STDIN").await.unwrap();
    let mut sink = Box::pin(sink);
    sink.send("1\tone\n2\t".into()).await.unwrap();
    sink.send("\\N\n".into()).await.unwrap();
    let copied = sink.as_mut().finish().await.unwrap();
    let parts: Vec<_> =
        client.copy_out("COPY t TO STDOUT").await.unwrap().try_collect().await.unwrap();
    let sink = client.copy_in::<_, bytes::Bytes>("COPY t FROM STDIN").await.unwrap();
    let mut sink = Box::pin(sink);
    sink.send("1\tagain\n".into()).await.unwrap();
    let repeated = sink.as_mut().finish().await;

    assert_eq!((copied, parts.concat().as_slice()), (2, &b"1\tone\n2\t\\N\n"[..]));
    assert_eq!(sqlstate(repeated), "23505");
}

#[tokio::test]
async fn a_cancel_request_ends_a_running_statement() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let token = client.cancel_token();

    let sleeping = client.batch_execute("SELECT pg_sleep(600)");
    let cancelling = async {
        // A cancel request that arrives before the statement runs has no effect, so it is repeated.
        loop {
            token.cancel_query(NoTls).await.unwrap();
            tokio::task::yield_now().await;
        }
    };
    let result = tokio::select! {
        result = sleeping => result,
        () = cancelling => unreachable!(),
    };

    assert_eq!(sqlstate(result), "57014");
    assert!(client.batch_execute("SELECT 1").await.is_ok());
}

#[tokio::test]
async fn notices_are_delivered_and_session_settings_last() {
    let group = group().await;
    let (_, address) = group.members().next().unwrap();
    let config =
        format!("host=127.0.0.1 port={} user=u options='-c app.kind=crew'", address.port());
    let (client, mut connection) = tokio_postgres::connect(&config, NoTls).await.unwrap();
    let messages = futures::stream::poll_fn(move |context| connection.poll_message(context));
    let collecting = tokio::spawn(messages.collect::<Vec<_>>());

    client.batch_execute("DROP TABLE IF EXISTS nothing").await.unwrap();
    let shown = client.query_one("SHOW app.kind", &[]).await.unwrap();
    client.batch_execute("BEGIN; SET app.kind = 'auditor'; ROLLBACK").await.unwrap();
    let restored = client.query_one("SHOW app.kind", &[]).await.unwrap();
    client.batch_execute("SET app.kind = 'auditor'").await.unwrap();
    let changed = client.query_one("SHOW app.kind", &[]).await.unwrap();
    client.batch_execute("DISCARD ALL").await.unwrap();
    let discarded = client.query_one("SHOW app.kind", &[]).await.unwrap();
    drop(client);
    let messages = collecting.await.unwrap();

    let values = [shown, restored, changed, discarded].map(|row| row.get::<_, String>(0));
    assert_eq!(values, ["crew", "crew", "auditor", "crew"]);
    let notice =
        matches!(&messages[0], Ok(AsyncMessage::Notice(notice)) if notice.severity() == "NOTICE");
    assert!(notice, "{messages:?}");
}
