//! Fixtures of the deployment tests.

use rudder_standins::{Deployment, DeploymentPlan};
use tokio::task::JoinHandle;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// Plans a deployment of one group and of callers named copyist.
pub(crate) fn plan(proxies: usize) -> DeploymentPlan {
    let extra_settings = "[callers.copyist]\nusers = [\"copyist\"]\nstaleness = \"5s\"\n\
                          queue_wait = \"5s\"\nin_flight_max = 100\n";
    DeploymentPlan { extra_settings: extra_settings.to_owned(), ..DeploymentPlan::small(proxies) }
}

/// Connects to one proxy; returns the client and the task that drives its connection.
pub(crate) async fn connect(
    deployment: &Deployment,
    proxy: usize,
    user: &str,
) -> (Client, JoinHandle<()>) {
    connect_with(deployment, proxy, user, "").await
}

/// Like [`connect`], with additional options in the connection string.
pub(crate) async fn connect_with(
    deployment: &Deployment,
    proxy: usize,
    user: &str,
    options: &str,
) -> (Client, JoinHandle<()>) {
    let text = format!("{} {options}", deployment.connection_string(proxy, user));
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await.expect("login works");
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    (client, task)
}

/// Returns the first column of all rows of a simple query.
pub(crate) async fn rows_of(client: &Client, query: &str) -> Vec<String> {
    let messages = client.simple_query(query).await.expect("the query runs");
    let row = |message: &SimpleQueryMessage| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    };
    messages.iter().filter_map(row).collect()
}
