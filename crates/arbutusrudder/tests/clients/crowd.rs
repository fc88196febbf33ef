//! Crowds of clients that all behave alike for a bounded time.

use futures::future::join_all;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Seconds that a crowd plays in CI: longer than an ordinary caller waits for a request.
const CROWD_SECONDS: u64 = 6;

/// Returns how long a crowd plays.
pub(crate) fn crowd_time() -> Duration {
    let seconds = std::env::var("RUDDER_CROWD_SECONDS").ok();
    let seconds = seconds.map(|text| text.parse().expect("a number of seconds"));
    Duration::from_secs(seconds.unwrap_or(CROWD_SECONDS))
}

/// Runs `count` clients at once until the crowd's time is over, then disconnects them all.
pub(crate) async fn play_crowd<F, C>(count: usize, client: C)
where
    C: Fn(usize) -> F,
    F: Future<Output = ()> + Send + 'static,
{
    let mut clients: JoinSet<()> = (0..count).map(client).collect();
    tokio::time::sleep(crowd_time()).await;
    clients.abort_all();
    while clients.join_next().await.is_some() {}
}

/// Runs a client `count` times, `width` at a time, and keeps what each returns until the crowd's
/// time is over.
pub(crate) async fn play_in_turn<F, C, T>(count: usize, width: usize, client: C)
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
    tokio::time::sleep(crowd_time()).await;
    lanes.iter().for_each(tokio::task::JoinHandle::abort);
    join_all(lanes).await;
}
