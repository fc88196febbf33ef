//! Isolation between callers that share connections to members.

use crate::common::{connect, connect_with, plan, rows_of};
use crate::raw::RawClient;
use rudder_standins::Deployment;
use std::time::Duration;
use tokio_postgres::error::SqlState;

#[tokio::test(flavor = "multi_thread")]
async fn settings_follow_their_session_and_a_rollback_restores_them() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (first, _) = connect(&deployment, 0, "copyist").await;
    let (second, _) = connect(&deployment, 0, "copyist").await;

    first.batch_execute("SET application_name = 'it''s one'").await.unwrap();
    second.execute("SET application_name TO 'two'", &[]).await.unwrap();
    let kept = rows_of(&first, "SHOW application_name").await;
    first.batch_execute("BEGIN; SET application_name = 'lost'").await.unwrap();
    first.batch_execute("ROLLBACK").await.unwrap();
    let back = rows_of(&first, "SHOW application_name").await;
    first.batch_execute("RESET application_name").await.unwrap();

    assert_eq!((kept, back), (vec!["it's one".to_owned()], vec!["it's one".to_owned()]));
    assert_eq!(rows_of(&first, "SHOW application_name").await, ["arbutusrudder"]);
    assert_eq!(rows_of(&second, "SHOW application_name").await, ["two"]);
}

/// A caller must not run with another tenant's search path. When the member refuses one of its
/// settings, the RESET sent before it is undone too, so the connection keeps the previous caller's
/// settings.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_setting_does_not_expose_the_previous_callers_settings() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (first, _) = connect(&deployment, 0, "copyist").await;
    first.batch_execute("SET application_name = 'one'").await.unwrap();
    let wrong = "options='-c no_such_setting=1'";
    let (second, _) = connect_with(&deployment, 0, "copyist", wrong).await;

    let refused = second.simple_query("SHOW application_name").await.unwrap_err();

    assert_eq!(refused.as_db_error().map(|error| error.code().code()), Some("42704"));
    assert_eq!(rows_of(&first, "SHOW application_name").await, ["one"]);
}

/// A caller disconnects within a transaction and its connection goes to the next caller. Without a
/// rollback, the next caller would continue and commit the transaction.
#[tokio::test(flavor = "multi_thread")]
async fn a_disconnect_within_a_transaction_rolls_it_back() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (setup, _) = connect(&deployment, 0, "copyist").await;
    setup.batch_execute("CREATE TABLE parts (id int)").await.unwrap();
    let (disconnected, task) = connect(&deployment, 0, "copyist").await;
    disconnected.batch_execute("BEGIN; SET application_name = 'lost'").await.unwrap();
    disconnected.batch_execute("INSERT INTO parts VALUES (1)").await.unwrap();

    task.abort();
    drop(disconnected);
    for id in 2..6 {
        setup.batch_execute(&format!("INSERT INTO parts VALUES ({id})")).await.unwrap();
    }

    assert_eq!(rows_of(&setup, "SELECT count(*) FROM parts").await, ["4"]);
    assert_eq!(rows_of(&setup, "SHOW application_name").await, ["arbutusrudder"]);
}

/// A caller disconnects while its statement runs. If the connection were reused before the reply
/// arrives, another caller would receive that reply.
#[tokio::test(flavor = "multi_thread")]
async fn replies_to_a_disconnected_caller_are_discarded() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (next, _) = connect(&deployment, 0, "copyist").await;
    let mut disconnected = RawClient::login(&deployment, &[]).await;
    disconnected.query("SELECT pg_sleep(0.2)").send().await;
    drop(disconnected);

    let mut answers = Vec::new();
    for round in 0..40 {
        answers.extend(rows_of(&next, &format!("SELECT {round}")).await);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    let wanted: Vec<String> = (0..40).map(|round| round.to_string()).collect();
    assert_eq!(answers, wanted);
}

/// A late cancel request must not cancel another caller's statement. Cancel keys of members name a
/// connection, which may serve another caller by the time the request arrives.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancel_request_affects_only_its_own_session() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (first, _) = connect(&deployment, 0, "copyist").await;
    let (second, _) = connect(&deployment, 0, "copyist").await;
    let token = first.cancel_token();

    let running = first.batch_execute("SELECT pg_sleep(60)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    };
    let (cancelled, ()) = tokio::join!(running, cancel);
    let mut completed = 0;
    for _ in 0..20 {
        let late = token.cancel_query(tokio_postgres::NoTls);
        let (ran, _) = tokio::join!(second.batch_execute("SELECT pg_sleep(0.005)"), late);
        completed += u32::from(ran.is_ok());
    }

    let code = cancelled.unwrap_err().code().map(|code| code.code().to_owned());
    assert_eq!((code.as_deref(), completed), (Some("57014"), 20));
}

#[tokio::test(flavor = "multi_thread")]
async fn statements_that_need_a_dedicated_connection_are_refused() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (client, _) = connect(&deployment, 0, "copyist").await;
    let texts = [
        "LISTEN news",
        "PREPARE a AS SELECT 1",
        "CREATE TEMP TABLE t (a int)",
        "SET ROLE director",
        "SELECT set_config('search_path', 'a', false)",
        "SELECT 1; DEALLOCATE ALL",
    ];

    for text in texts {
        let refused = client.simple_query(text).await.unwrap_err();
        assert_eq!(refused.code().map(SqlState::code), Some("0A000"), "{text}");
        assert_eq!(rows_of(&client, "SELECT 1").await, ["1"]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn proxy_settings_work_with_simple_and_extended_queries() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let options = "options='-c rudder.staleness_ms=1500'";
    let (client, _) = connect_with(&deployment, 0, "copyist", options).await;

    let simple = rows_of(&client, "SHOW rudder.staleness_ms").await;
    client.execute("SET rudder.staleness_ms = 700", &[]).await.unwrap();
    let row = client.query_one("SHOW rudder.staleness_ms", &[]).await.unwrap();
    let unknown = client.query("SHOW rudder.nothing", &[]).await.unwrap_err();

    assert_eq!((simple, row.get::<_, String>(0)), (vec!["1500".to_owned()], "700".to_owned()));
    assert_eq!(unknown.code().map(SqlState::code), Some("42704"));
    assert_eq!(rows_of(&client, "SELECT 1").await, ["1"]);
}
