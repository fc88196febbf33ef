//! Replies to callers of a primary that has been superseded or isolated.

use crate::common::{connect, connect_with, rows_of};
use rudder_standins::{Deployment, DeploymentPlan, MemberKnob};
use std::time::Duration;
use tokio_postgres::Client;

const SETTINGS: &str = "[callers.crew]\nusers = [\"crew\"]\nstaleness = \"5s\"\n\
                        queue_wait = \"900ms\"\nin_flight_max = 100\n\
                        [callers.auditor]\nusers = [\"auditor\"]\nstaleness = \"0ms\"\n\
                        queue_wait = \"900ms\"\nin_flight_max = 100\n\
                        [timing]\nack_timeout = \"200ms\"\n";

/// Maximum number of write attempts until a new primary accepts one.
const WRITE_ATTEMPTS_MAX: u32 = 60;

fn plan() -> DeploymentPlan {
    DeploymentPlan { extra_settings: SETTINGS.to_owned(), ..DeploymentPlan::small(3) }
}

/// Much longer than the members' probes take, much shorter than the statement timeout.
const SILENT_MEMBER_TIMEOUT: Duration = Duration::from_secs(60);

async fn write_until_accepted(client: &Client, text: &str) {
    for _ in 0..WRITE_ATTEMPTS_MAX {
        if client.batch_execute(text).await.is_ok() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no primary accepts writes");
}

async fn sqlstate_of(client: &Client, text: &str) -> String {
    let error = client.simple_query(text).await.expect_err("the statement is refused");
    error.as_db_error().expect("an error from the proxy").code().code().to_owned()
}

/// Isolates the first proxy and the first member together from everything else.
fn isolate(deployment: &Deployment) {
    let primary = "scores-orders-1".parse().expect("the name has only allowed characters");
    deployment.groups[0].turn(&primary, MemberKnob::Cut(true)).expect("the member is known");
    deployment.links[0].members[0][1].cut();
    deployment.links[0].members[0][2].cut();
    deployment.links[1].members[0][0].cut();
    deployment.links[2].members[0][0].cut();
}

/// One proxy and the primary are isolated together; the other side gets a new primary and a new
/// row. Strict reads and transactions at the isolated proxy must be refused: the old primary still
/// acts as primary, and its data is stale unless the other members are consulted.
#[tokio::test(flavor = "multi_thread")]
async fn a_strict_read_at_an_isolated_primary_is_refused() {
    let deployment = Deployment::start(plan()).await.expect("deployment starts");
    let (crew, _) = connect(&deployment, 1, "crew").await;
    let (auditor, _) = connect(&deployment, 0, "auditor").await;
    crew.batch_execute("CREATE TABLE sheets (id int PRIMARY KEY, road text)").await.unwrap();
    let before = rows_of(&auditor, "SELECT road FROM sheets").await;

    isolate(&deployment);
    write_until_accepted(&crew, "INSERT INTO sheets VALUES (1, 'A55')").await;
    let read = sqlstate_of(&auditor, "SELECT road FROM sheets").await;
    let transaction = sqlstate_of(&auditor, "BEGIN").await;

    assert_eq!(before, Vec::<String>::new());
    assert!(["RU002", "57P03"].contains(&read.as_str()), "{read}");
    assert_eq!(transaction, "57P03");
}

/// A session writes at the new primary and then begins a transaction at the isolated proxy with its
/// token. The transaction must be refused: it would lack the session's write if the token applied
/// to single reads only.
#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_is_refused_where_the_sessions_writes_are_missing() {
    let deployment = Deployment::start(plan()).await.expect("deployment starts");
    let (crew, _) = connect(&deployment, 1, "crew").await;
    crew.batch_execute("CREATE TABLE sheets (id int PRIMARY KEY, road text)").await.unwrap();
    let (warm, _) = connect(&deployment, 0, "crew").await;
    warm.batch_execute("BEGIN; SELECT road FROM sheets; COMMIT").await.unwrap();

    isolate(&deployment);
    write_until_accepted(&crew, "INSERT INTO sheets VALUES (1, 'A55')").await;
    let token = rows_of(&crew, "SHOW rudder.session").await.remove(0);
    let options = format!("options='-c rudder.session={token}'");
    let (moved, _) = connect_with(&deployment, 0, "crew", &options).await;
    let transaction = sqlstate_of(&moved, "BEGIN").await;

    assert_eq!(transaction, "57P03");
}

/// A keyed write commits at the primary, but no replica receives it, and retries that find the key
/// cannot confirm it before the timeout. The caller must get "unknown" instead of "not run", which
/// the last attempt alone would suggest.
#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_write_that_may_have_committed_ends_as_unknown() {
    let deployment = Deployment::start(plan()).await.expect("deployment starts");
    let (crew, _) = connect(&deployment, 0, "crew").await;
    crew.batch_execute("CREATE TABLE claims (page int)").await.unwrap();
    crew.batch_execute("/* rudder:key=first */ INSERT INTO claims VALUES (1)").await.unwrap();
    for name in ["scores-orders-2", "scores-orders-3"] {
        deployment.groups[0].turn(&name.parse().unwrap(), MemberKnob::Paused(true)).unwrap();
    }

    let claim = "/* rudder:key=claim-7 */ INSERT INTO claims VALUES (7)";
    let refusal = sqlstate_of(&crew, claim).await;

    assert_eq!(refusal, "08007");
}

/// A commit that only the primary holds must not be acknowledged, as a promotion would lose it.
#[tokio::test(flavor = "multi_thread")]
async fn a_commit_that_no_replica_holds_is_not_acknowledged() {
    let deployment = Deployment::start(plan()).await.expect("deployment starts");
    let (crew, _) = connect(&deployment, 0, "crew").await;
    crew.batch_execute("CREATE TABLE signoffs (id int)").await.unwrap();
    for name in ["scores-orders-2", "scores-orders-3"] {
        deployment.groups[0].turn(&name.parse().unwrap(), MemberKnob::Paused(true)).unwrap();
    }

    let refusal = sqlstate_of(&crew, "INSERT INTO signoffs VALUES (1)").await;

    assert_eq!(refusal, "08007");
}

/// All links to the primary go silent while a statement with a long timeout (30 minutes) runs. The
/// statement must fail long before its own timeout, because the member no longer responds.
#[tokio::test(flavor = "multi_thread")]
async fn a_statement_on_a_silent_member_fails() {
    let settings = format!("{SETTINGS}statement_timeout = \"30m\"\n");
    let plan = DeploymentPlan { extra_settings: settings, ..DeploymentPlan::small(3) };
    let deployment = Deployment::start(plan).await.expect("deployment starts");
    let (crew, _) = connect(&deployment, 0, "crew").await;
    crew.batch_execute("CREATE TABLE sheets (id int PRIMARY KEY, road text)").await.unwrap();

    crew.batch_execute("BEGIN; INSERT INTO sheets VALUES (1, 'A55')").await.unwrap();
    let statement =
        tokio::spawn(async move { crew.simple_query("SELECT pg_sleep(600)").await.is_err() });
    tokio::time::sleep(Duration::from_millis(200)).await;
    for links in &deployment.links {
        links.members[0][0].cut();
    }
    let ended = tokio::time::timeout(SILENT_MEMBER_TIMEOUT, statement).await;

    assert!(
        ended.is_ok_and(|ended| ended.is_ok_and(|refused| refused)),
        "the statement still runs"
    );
}
