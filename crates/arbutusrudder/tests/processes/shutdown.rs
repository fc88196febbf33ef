//! Termination by signals.

use crate::program::Fleet;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_postgres::error::SqlState;

/// The process receives SIGTERM while one caller's statement runs and another caller is idle. The
/// running statement must complete; it would be cut off if the process ended first.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_program_finishes_requests_and_disconnects_idle_callers() {
    let mut fleet = Fleet::start(1).await;
    let program = &mut fleet.programs[0];
    let address = program.address("listen").await;
    let (busy, _) = program.connect("").await;
    let (idle, ended) = program.connect("").await;
    let running = tokio::spawn(async move { busy.simple_query("SELECT pg_sleep(2), 7").await });
    tokio::time::sleep(Duration::from_millis(300)).await;

    program.signal("-TERM");
    let disconnect = ended.await.unwrap().expect_err("the idle caller is disconnected");
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let refused_while_running = !running.is_finished();
    let answer = running.await.unwrap();
    let status = program.wait_for_exit().await;

    assert_eq!(disconnect.code().map(SqlState::code), Some("57P01"));
    assert!(answer.is_ok(), "{answer:?}");
    assert!(idle.is_closed() && refused_while_running);
    assert_eq!(status.code(), Some(0));
}

/// A second SIGTERM must end the program although a statement still runs. The graceful shutdown
/// waits for the last caller without a timeout, so a long statement would block it.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_ends_the_program_at_once() {
    let mut fleet = Fleet::start(1).await;
    let program = &mut fleet.programs[0];
    let (busy, _) = program.connect("").await;
    let running = tokio::spawn(async move { busy.simple_query("SELECT pg_sleep(600)").await });
    tokio::time::sleep(Duration::from_millis(300)).await;

    program.signal("-TERM");
    program.line("rudder::instance", "instance leaving").await;
    program.signal("-TERM");
    let status = program.wait_for_exit().await;

    assert_eq!(status.code(), Some(0));
    assert!(running.await.unwrap().is_err());
}
