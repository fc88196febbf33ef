//! Clients that all behave alike for a bounded time.

use futures::future::join_all;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Seconds that clients run in CI: longer than an ordinary caller waits for a request.
const LOAD_SECONDS: u64 = 6;

/// Pause before a client connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

/// Returns how long clients run.
pub(crate) fn load_time() -> Duration {
    let seconds = std::env::var("RUDDER_LOAD_SECONDS").ok();
    let seconds = seconds.map(|text| text.parse().expect("a number of seconds"));
    Duration::from_secs(seconds.unwrap_or(LOAD_SECONDS))
}

/// Runs `count` clients at once until the time of the load is over, then disconnects them all.
pub(crate) async fn run_clients<F, C>(count: usize, client: C)
where
    C: Fn(usize) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut clients: JoinSet<()> = (0..count).map(client).collect();
    tokio::time::sleep(load_time()).await;
    clients.abort_all();
    while clients.join_next().await.is_some() {}
}

/// One of several clients, with what all of them share.
pub(crate) struct LoadClient<T> {
    pub(crate) address: SocketAddr,
    pub(crate) number: usize,
    pub(crate) shared: Arc<T>,
}

/// Runs `count` clients at once until the time of the load is over. A client that ends, as it was
/// refused or cut off, is run again after a moment.
pub(crate) async fn run_repeating<T, F>(
    count: usize,
    address: SocketAddr,
    shared: T,
    client: impl Fn(LoadClient<T>) -> F + Clone + Send + 'static,
) where
    T: Send + Sync + 'static,
    F: Future<Output = Option<()>> + Send + 'static,
{
    let shared = Arc::new(shared);
    run_clients(count, move |number| {
        let (client, shared) = (client.clone(), Arc::clone(&shared));
        async move {
            loop {
                let shared = Arc::clone(&shared);
                client(LoadClient { address, number, shared }).await;
                tokio::time::sleep(RECONNECT_PAUSE).await;
            }
        }
    })
    .await;
}

/// Keeps a connection open until the time of the load is over.
pub(crate) async fn hold<T>(connection: T) {
    std::future::pending::<()>().await;
    drop(connection);
}

/// Runs a client `count` times, `width` at a time, and keeps what each returns until the time of the
/// load is over.
pub(crate) async fn run_in_turn<F, C, T>(count: usize, width: usize, client: C)
where
    C: Fn(usize) -> F + Send + Sync + 'static,
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    let client = Arc::new(client);
    let lanes = (0..width).map(|lane| {
        let client = Arc::clone(&client);
        tokio::spawn(async move {
            let mut kept = Vec::new();
            for number in (lane..count).step_by(width) {
                kept.push(client(number).await);
            }
            kept
        })
    });
    let lanes: Vec<_> = lanes.collect();
    tokio::time::sleep(load_time()).await;
    lanes.iter().for_each(tokio::task::JoinHandle::abort);
    join_all(lanes).await;
}
