//! Reads, writes, transactions and failover from the client library to the group.

use crate::common::{connect, connect_with, rows_of};
use rudder_standins::{Deployment, DeploymentPlan, MemberKnob};
use std::time::Duration;

const CALLERS: &str = "[callers.copyist]\nusers = [\"copyist\"]\nstaleness = \"5s\"\n\
                       queue_wait = \"5s\"\nin_flight_max = 100\n";

fn plan(proxies: usize) -> DeploymentPlan {
    DeploymentPlan { extra_settings: CALLERS.to_owned(), ..DeploymentPlan::small(proxies) }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_is_read_back_by_simple_and_extended_queries() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (client, _) = connect(&deployment, 0, "copyist").await;

    client.batch_execute("CREATE TABLE parts (id int PRIMARY KEY, title text)").await.unwrap();
    let inserted =
        client.execute("INSERT INTO parts VALUES ($1, $2)", &[&1_i32, &"Agnus Dei"]).await.unwrap();
    let row = client.query_one("SELECT title FROM parts WHERE id = $1", &[&1_i32]).await.unwrap();

    assert_eq!(inserted, 1);
    assert_eq!(row.get::<_, String>(0), "Agnus Dei");
    assert_eq!(rows_of(&client, "SELECT title FROM parts").await, ["Agnus Dei"]);
}

/// A session writes at one proxy and reads at another while the replicas lag. Without the session
/// token, the second proxy would not know the write and might read from a lagging replica.
#[tokio::test(flavor = "multi_thread")]
async fn a_session_sees_its_write_after_moving_to_another_proxy() {
    let deployment = Deployment::start(plan(2)).await.expect("deployment starts");
    let (first, _) = connect(&deployment, 0, "copyist").await;
    first.batch_execute("CREATE TABLE parts (id int PRIMARY KEY, title text)").await.unwrap();
    for name in ["scores-orders-2", "scores-orders-3"] {
        let lag = MemberKnob::ApplyLag(Duration::from_millis(700));
        deployment.groups[0].turn(&name.parse().unwrap(), lag).unwrap();
    }

    first.batch_execute("INSERT INTO parts VALUES (1, 'Kyrie')").await.unwrap();
    let token = rows_of(&first, "SHOW rudder.session").await.remove(0);
    let option = format!("options='-c rudder.session={token}'");
    let (second, _) = connect_with(&deployment, 1, "copyist", &option).await;

    assert_eq!(rows_of(&second, "SELECT title FROM parts").await, ["Kyrie"]);
}

/// The same for a client that passes only its session id instead of a token. The second proxy does
/// not know the session and must not conclude that it has written nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_session_known_by_its_id_only_sees_its_write() {
    let deployment = Deployment::start(plan(2)).await.expect("deployment starts");
    let named = "options='-c rudder.session_id=anna'";
    let (first, _) = connect_with(&deployment, 0, "copyist", named).await;
    first.batch_execute("CREATE TABLE parts (id int PRIMARY KEY, title text)").await.unwrap();
    for name in ["scores-orders-2", "scores-orders-3"] {
        let lag = MemberKnob::ApplyLag(Duration::from_millis(700));
        deployment.groups[0].turn(&name.parse().unwrap(), lag).unwrap();
    }

    first.batch_execute("INSERT INTO parts VALUES (1, 'Kyrie')").await.unwrap();
    let (second, _) = connect_with(&deployment, 1, "copyist", named).await;

    assert_eq!(rows_of(&second, "SELECT title FROM parts").await, ["Kyrie"]);
}

/// A session writes at one proxy and reads at another whose link to the primary is slow. That proxy
/// has status only from replicas that lack the write and knows no primary yet; it must wait instead
/// of refusing the read.
#[tokio::test(flavor = "multi_thread")]
async fn a_first_read_waits_for_the_first_status_of_a_primary() {
    let deployment = Deployment::start(plan(2)).await.expect("deployment starts");
    for name in ["scores-orders-2", "scores-orders-3"] {
        let lag = MemberKnob::ApplyLag(Duration::from_secs(60));
        deployment.groups[0].turn(&name.parse().unwrap(), lag).unwrap();
    }
    let (first, _) = connect(&deployment, 0, "copyist").await;
    deployment.links[1].members[0][0].set_delay(Duration::from_millis(150), Duration::ZERO);

    first.batch_execute("CREATE TABLE parts (id int PRIMARY KEY, title text)").await.unwrap();
    let token = rows_of(&first, "SHOW rudder.session").await.remove(0);
    let option = format!("options='-c rudder.session={token}'");
    let (second, _) = connect_with(&deployment, 1, "copyist", &option).await;

    assert_eq!(rows_of(&second, "SELECT title FROM parts").await, Vec::<String>::new());
}

/// The first transaction on a new group changes nothing and must still commit. The log is empty, so
/// no entry of the primary's term could confirm it, and its outcome would be reported as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_on_an_empty_group_commits() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (mut client, _) = connect(&deployment, 0, "copyist").await;

    let empty = client.transaction().await.unwrap();
    let committed = empty.commit().await;

    assert!(committed.is_ok(), "{committed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn transactions_commit_and_roll_back_as_a_whole() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let (mut client, _) = connect(&deployment, 0, "copyist").await;
    client.batch_execute("CREATE TABLE parts (id int PRIMARY KEY, title text)").await.unwrap();

    let kept = client.transaction().await.unwrap();
    kept.execute("INSERT INTO parts VALUES (1, 'Kyrie')", &[]).await.unwrap();
    kept.commit().await.unwrap();
    let undone = client.transaction().await.unwrap();
    undone.execute("INSERT INTO parts VALUES (2, 'Gloria')", &[]).await.unwrap();
    undone.rollback().await.unwrap();

    assert_eq!(rows_of(&client, "SELECT title FROM parts").await, ["Kyrie"]);
}

/// A keyed write that a client repeats at another proxy must not run twice. The second proxy cannot
/// know that the first one ran it unless the endpoint records the key.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_key_runs_once_at_any_proxy() {
    let deployment = Deployment::start(plan(2)).await.expect("deployment starts");
    let (first, _) = connect(&deployment, 0, "copyist").await;
    let (second, _) = connect(&deployment, 1, "copyist").await;
    first.batch_execute("CREATE TABLE claims (page int, by_whom text)").await.unwrap();
    let claim = "/* rudder:key=claim-7 */ INSERT INTO claims VALUES (7, 'anna')";

    first.batch_execute(claim).await.unwrap();
    let again = second.batch_execute(claim).await.unwrap_err();

    let error = again.as_db_error().expect("an error from the proxy");
    assert_eq!(error.code().code(), "RU003");
    assert_eq!(rows_of(&first, "SELECT by_whom FROM claims").await, ["anna"]);
}

/// After the primary is killed, the proxies must promote another member by themselves and writes
/// must succeed again; otherwise they would fail until an operator intervenes.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_primary_is_replaced_and_nothing_acknowledged_is_lost() {
    let deployment = Deployment::start(plan(3)).await.expect("deployment starts");
    let (client, _) = connect(&deployment, 0, "copyist").await;
    client.batch_execute("CREATE TABLE sheets (id int PRIMARY KEY, road text)").await.unwrap();
    client.batch_execute("INSERT INTO sheets VALUES (1, 'A55')").await.unwrap();

    deployment.groups[0].turn(&"scores-orders-1".parse().unwrap(), MemberKnob::Kill).unwrap();
    let mut refusals = 0;
    while client.batch_execute("INSERT INTO sheets VALUES (2, 'A470')").await.is_err() {
        refusals += 1;
        assert!(refusals < 20, "no primary accepts writes again");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    let roads = rows_of(&client, "SELECT road FROM sheets ORDER BY id").await;
    assert_eq!(roads, ["A55", "A470"]);
}
