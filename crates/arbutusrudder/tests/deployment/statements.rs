//! Prepared statements, portals and pipelines on shared connections.

use crate::common::{connect, plan, rows_of};
use crate::raw::RawClient;
use rudder_standins::Deployment;

#[tokio::test(flavor = "multi_thread")]
async fn prepared_statements_work_on_any_member_connection() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (setup, _) = connect(&deployment, 0, "copyist").await;
    setup.batch_execute("CREATE TABLE parts (id int PRIMARY KEY, title text)").await.unwrap();
    let mut callers = Vec::new();
    for _ in 0..12 {
        let client = connect(&deployment, 0, "copyist").await.0;
        let write = client.prepare("INSERT INTO parts VALUES ($1, $2)").await.unwrap();
        let read = client.prepare("SELECT title FROM parts WHERE id = $1").await.unwrap();
        callers.push((client, write, read));
    }

    let work = callers.iter().zip(0_i32..).map(|((client, write, read), id)| async move {
        for round in 0..4 {
            let id = id * 4 + round;
            client.execute(write, &[&id, &"Kyrie"]).await.unwrap();
            let row = client.query_one(read, &[&id]).await.unwrap();
            assert_eq!(row.get::<_, String>(0), "Kyrie");
        }
    });
    futures::future::join_all(work).await;
    // The writes are of other sessions; this one may otherwise read what is up to 5 s old.
    setup.execute("SET rudder.staleness_ms = 0", &[]).await.unwrap();

    assert_eq!(rows_of(&setup, "SELECT count(*) FROM parts").await, ["48"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn replies_generated_by_the_proxy_keep_their_order() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let mut client = RawClient::login(&deployment, &[]).await;
    client.parse("a", "SELECT 'one'").sync();
    client.replies(1).await;

    client.parse("b", "SELECT 'one'").bind("", "b").describe(b'P', "").execute("", 0);
    client.close("a").parse("", "SELECT 'two'").describe(b'S', "").bind("", "").execute("", 0);
    let types = client.sync().replies(1).await;

    assert_eq!(types, "12TDC31tT2DCZI");
    assert_eq!(client.rows, ["one", "two"]);
}

/// A pipeline fails before it closes and prepares statements again. The messages after the error
/// are skipped; if the proxy had already applied their names, statement `s` would run another text
/// or would not exist.
#[tokio::test(flavor = "multi_thread")]
async fn messages_after_an_error_in_a_pipeline_change_no_statement() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let mut client = RawClient::login(&deployment, &[]).await;
    client.parse("s", "SELECT 'old'").parse("t", "SELECT 'kept'").sync().replies(1).await;
    client.parse("", "SELECT nothing FROM nowhere").bind("", "").execute("", 0);
    client.close("t").parse("s", "SELECT 'new'").bind("", "s").execute("", 0);

    let failed = client.sync().replies(1).await;
    client.bind("", "s").execute("", 0).bind("", "t").execute("", 0).sync();
    let after = client.replies(1).await;

    assert!(failed.ends_with("EZI") && !failed.contains('3'), "{failed}");
    assert_eq!(after, "2DC2DCZI");
    assert_eq!(client.rows, ["old", "kept"]);
}

/// A statement fails before a Flush, and more messages follow before the Sync. The member skips
/// them; if the proxy generated replies for those it does not forward, the driver would hang or
/// match replies to the wrong messages.
#[tokio::test(flavor = "multi_thread")]
async fn no_replies_are_generated_between_an_error_and_its_sync() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let mut client = RawClient::login(&deployment, &[]).await;
    client.parse("s", "SELECT 'old'").sync().replies(1).await;
    client.parse("", "SELECT nothing FROM nowhere").bind("", "").execute("", 0).flush();
    client.send().await;
    let mut before = String::new();
    while !before.ends_with('E') {
        before.push_str(&client.next_reply().await.unwrap());
    }

    let after = client.parse("s", "SELECT 'old'").close("s").sync().replies(1).await;
    let next = client.bind("", "s").execute("", 0).sync().replies(1).await;

    assert_eq!((after.as_str(), next.as_str()), ("ZI", "2DCZI"), "{:?}", client.errors);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_portal_returns_its_rows_in_batches() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let mut client = RawClient::login(&deployment, &[]).await;
    client.query("CREATE TABLE parts (id int)").replies(1).await;
    client.query("BEGIN").replies(1).await;

    client.parse("", "SELECT * FROM generate_series(1, 5)").bind("p", "").execute("p", 2);
    let first = client.sync().replies(1).await;
    let second = client.execute("p", 2).sync().replies(1).await;
    let last = client.execute("p", 0).sync().replies(1).await;
    let end = client.query("COMMIT").replies(1).await;

    assert_eq!(
        [first, second, last, end].map(|types| types.replace('1', "")),
        ["2DDsZT", "DDsZT", "DCZT", "CZI"],
        "{:?}",
        client.errors
    );
    assert_eq!(client.rows, ["1", "2", "3", "4", "5"]);
}

/// RESET ALL, DEALLOCATE ALL or DISCARD ALL of one caller must not affect another caller's prepared
/// statements. Otherwise the proxy's list of a connection's statements would differ from the
/// member's, with "prepared statement already exists" or "does not exist" as the result.
#[tokio::test(flavor = "multi_thread")]
async fn a_reset_by_one_caller_keeps_the_statements_of_others() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (first, _) = connect(&deployment, 0, "copyist").await;
    let (second, _) = connect(&deployment, 0, "copyist").await;
    let statement = first.prepare("SELECT 1").await.unwrap();

    for text in ["RESET ALL", "DEALLOCATE ALL", "DISCARD ALL"] {
        second.batch_execute(text).await.unwrap();
        second.execute(text, &[]).await.unwrap();
        for _ in 0..6 {
            let row = first.query_one(&statement, &[]).await.unwrap();
            assert_eq!(row.get::<_, i32>(0), 1);
        }
    }
}

/// A connection is at its limit of prepared statements, and the batch that closes one fails before
/// the Close. The member skips the Close; a proxy that counts the statement as closed would later
/// get "prepared statement already exists".
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_at_its_statement_limit_recovers_from_an_error() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let mut client = RawClient::login(&deployment, &[]).await;
    client.query("BEGIN").replies(1).await;
    for round in 0..210 {
        let text = format!("SELECT {round}");
        client.parse("", &text).bind("", "").execute("", 0);
        client.sync().replies(1).await;
    }
    client.query("SAVEPOINT a").replies(1).await;
    client.parse("", "SELECT nothing FROM nowhere").bind("", "");
    for round in 300..340 {
        client.parse("", &format!("SELECT {round}"));
    }
    client.sync().replies(1).await;
    client.query("ROLLBACK TO SAVEPOINT a").replies(1).await;
    client.errors.clear();

    for round in 0..210 {
        client.parse("", &format!("SELECT {round}")).bind("", "").execute("", 0);
    }
    client.sync().replies(1).await;

    assert_eq!(client.errors, Vec::<String>::new());
}
