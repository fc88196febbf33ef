//! COPY in both directions, notices and large rows.

use crate::common::{connect, plan, rows_of};
use crate::raw::RawClient;
use futures::{SinkExt, TryStreamExt};
use rudder_standins::Deployment;
use std::pin::pin;
use tokio_postgres::error::SqlState;

const TABLE: &str = "CREATE TABLE parts (id int PRIMARY KEY, title text)";

#[tokio::test(flavor = "multi_thread")]
async fn copy_in_and_copy_out_transfer_rows() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (client, _) = connect(&deployment, 0, "copyist").await;
    client.batch_execute(TABLE).await.unwrap();

    let sink = client.copy_in::<_, bytes::Bytes>("COPY parts FROM STDIN").await.unwrap();
    let mut sink = pin!(sink);
    sink.send("1\tKyrie\n".into()).await.unwrap();
    sink.send("2\tGloria\n".into()).await.unwrap();
    let copied = sink.finish().await.unwrap();
    let parts = client.copy_out("COPY parts TO STDOUT").await.unwrap();
    let parts: Vec<bytes::Bytes> = parts.try_collect().await.unwrap();

    assert_eq!((copied, parts.concat().as_slice()), (2, &b"1\tKyrie\n2\tGloria\n"[..]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_copy_that_fails_leaves_the_session_usable() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (client, _) = connect(&deployment, 0, "copyist").await;
    client.batch_execute(TABLE).await.unwrap();

    let sink = client.copy_in::<_, bytes::Bytes>("COPY parts FROM STDIN").await.unwrap();
    let mut sink = pin!(sink);
    sink.send("1\tKyrie\n1\tKyrie\n".into()).await.unwrap();
    let failure = sink.finish().await.unwrap_err();
    // Dropping a sink aborts its COPY.
    let abandoned = client.copy_in::<_, bytes::Bytes>("COPY parts FROM STDIN").await.unwrap();
    drop(abandoned);

    assert_eq!(failure.code().map(SqlState::code), Some("23505"));
    assert_eq!(rows_of(&client, "SELECT count(*) FROM parts").await, ["0"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_copy_by_simple_query_ends_with_copy_done_or_copy_fail() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let mut client = RawClient::login(&deployment, &[]).await;
    client.query(TABLE).replies(1).await;

    client.query("COPY parts FROM STDIN").send().await;
    let open = client.next_reply().await;
    client.out.extend_from_slice(b"d\0\0\0\x0c1\tKyrie\nc\0\0\0\x04");
    let done = client.replies(1).await;
    client.query("COPY parts FROM STDIN").send().await;
    client.next_reply().await;
    client.out.extend_from_slice(b"f\0\0\0\x08no\0\0");
    let failed = client.replies(1).await;

    assert_eq!((open.as_deref(), done.as_str(), failed.as_str()), (Some("G"), "CZI", "EZI"));
    client.query("SELECT count(*) FROM parts").replies(1).await;
    assert_eq!(client.rows, ["1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_row_of_20_mb_and_a_notice_are_relayed() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let mut client = RawClient::login(&deployment, &[]).await;
    client.query(TABLE).replies(1).await;

    let types = client.query("SELECT repeat('x', 20000000)").replies(1).await;
    let again = TABLE.replace("parts", "IF NOT EXISTS parts");
    let notice = client.query(&again).replies(1).await;

    assert_eq!((types.as_str(), client.rows[0].len()), ("TDCZI", 20_000_000));
    assert_eq!(notice, "NCZI");
}
