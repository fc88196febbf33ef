//! Draining of members and graceful shutdown of proxies.

use crate::common::{connect, rows_of};
use rudder_core::{MemberName, MemberRole};
use rudder_standins::{Deployment, DeploymentPlan};
use std::time::Duration;

const CALLERS: &str = "[callers.copyist]\nusers = [\"copyist\"]\nstaleness = \"5s\"\n\
                       queue_wait = \"5s\"\nin_flight_max = 100\n";

/// Maximum number of polls, 50 ms apart, for a change to come into force.
const POLLS_MAX: u32 = 300;

fn plan(proxies: usize) -> DeploymentPlan {
    DeploymentPlan { extra_settings: CALLERS.to_owned(), ..DeploymentPlan::small(proxies) }
}

fn is_primary(deployment: &Deployment, name: &MemberName) -> bool {
    deployment.groups[0].status(name).is_ok_and(|status| status.role == MemberRole::Primary)
}

/// Operators drain the primary, wait and switch it off. If draining moved only reads to other
/// members, writes would fail when it is switched off.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_primary_is_replaced_automatically() {
    let deployment = Deployment::start(plan(3)).await.expect("deployment starts");
    let (client, _) = connect(&deployment, 0, "copyist").await;
    client.batch_execute("CREATE TABLE parts (id int PRIMARY KEY, title text)").await.unwrap();
    let first: MemberName = "scores-orders-1".parse().unwrap();

    let drain = "[services.scores-orders.members.scores-orders-1]\ndraining = true\n";
    deployment.submit("90-drain.toml", drain).await.expect("the file is accepted");
    let mut polls = 0;
    while is_primary(&deployment, &first) {
        polls += 1;
        assert!(polls < POLLS_MAX, "the draining member is still the primary");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    client.batch_execute("INSERT INTO parts VALUES (1, 'Kyrie')").await.unwrap();

    assert_eq!(rows_of(&client, "SELECT title FROM parts").await, ["Kyrie"]);
    assert!(!is_primary(&deployment, &first));
}

/// A statement that runs while its proxy leaves must get its complete reply; it would be cut off if
/// the proxy ended before its requests in flight.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_proxy_finishes_requests_in_flight() {
    let mut deployment = Deployment::start(plan(2)).await.expect("deployment starts");
    let (busy, _) = connect(&deployment, 0, "copyist").await;
    let (idle, idle_task) = connect(&deployment, 0, "copyist").await;
    let address = deployment.proxy(0).listen_address();
    let proxy = deployment.proxies[0].take().expect("the proxy runs");

    let answer = tokio::spawn(async move { rows_of(&busy, "SELECT pg_sleep(0.6), 7").await.len() });
    tokio::time::sleep(Duration::from_millis(150)).await;
    let left = tokio::spawn(proxy.leave());

    assert_eq!(answer.await.expect("the caller gets a reply"), 1);
    idle_task.await.expect("the idle caller is disconnected");
    assert!(idle.is_closed());
    left.await.expect("the proxy ends after its last caller disconnects");
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}
