//! Log output that is not read.

use crate::program::{Fleet, execute_until_accepted, rows_of};
use futures::future::join_all;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Number of callers and reads of each. Together they log more lines than the queue and the pipe
/// hold.
const CALLERS: usize = 20;
const READS: usize = 1000;

async fn metrics(admin: SocketAddr) -> String {
    let mut stream = TcpStream::connect(admin).await.expect("the pages are served");
    let request = "GET /metrics HTTP/1.1\r\nHost: admin\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("the pages are served");
    let mut page = String::new();
    stream.read_to_string(&mut page).await.expect("the pages are served");
    page
}

/// Returns the value of a counter without labels.
fn counter(page: &str, name: &str) -> u64 {
    let line = page.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.split(' ').nth(1)?.parse().ok()).unwrap_or(0)
}

/// The log collector stops reading while requests continue, each of which logs a line, until the
/// pipe and the queue are full. Requests would hang if they waited for their lines to be written.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_while_the_log_is_not_read() {
    let fleet = Fleet::start(1).await;
    let program = &fleet.programs[0];
    let admin = program.address("admin").await;
    let (setup, _) = program.connect("").await;
    execute_until_accepted(&setup, "CREATE TABLE pages (id int PRIMARY KEY)").await;
    execute_until_accepted(&setup, "INSERT INTO pages VALUES (7)").await;

    program.set_log_reading(false);
    let callers = join_all((0..CALLERS).map(|_| program.connect(""))).await;
    let served = join_all(callers.iter().map(|(client, _)| async move {
        for _ in 0..READS {
            assert_eq!(rows_of(client, "SELECT id FROM pages").await, ["7"]);
        }
        READS
    }));
    let served: usize = served.await.into_iter().sum();

    let dropped = counter(&metrics(admin).await, "rudder_log_lines_dropped_total");
    assert_eq!(served, CALLERS * READS);
    assert!(dropped > 0, "all lines found a place, so nothing was tried");
    program.set_log_reading(true);
}
