//! Slots, service times, connections, and members that answer nothing.

use crate::raw::{RawClient, copy_data, query};
use crate::support::{connect, group, name, settings, sqlstate, status, try_connect};
use rudder_core::{ConnectionCount, ControlStatement, LogStamp, LogTerm, SlotCount};
use rudder_standins::{GroupSettings, GroupStandin, MemberKnob};
use std::time::{Duration, Instant};

/// All slots of a member are taken for long. Statements wait, but the member's report must come
/// at once, since the decision over its role hangs on it.
#[tokio::test]
async fn statements_wait_for_slots_and_reports_do_not() {
    let group =
        GroupStandin::start(GroupSettings { slots: SlotCount(1), ..settings() }).await.unwrap();
    let (busy, other) = (connect(&group, 0).await, connect(&group, 0).await);
    let token = busy.cancel_token();
    let occupying = tokio::spawn(async move { busy.batch_execute("SELECT pg_sleep(600)").await });
    let waiting = loop {
        let statement = other.batch_execute("SELECT 1");
        match tokio::time::timeout(Duration::from_millis(20), statement).await {
            Ok(done) => done.unwrap(),
            Err(_) => break connect(&group, 0).await,
        }
    };

    let report = waiting.simple_query("SHOW rudder.status").await;
    while !occupying.is_finished() {
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    }
    let cancelled = occupying.await.unwrap();
    let after = other.batch_execute("SELECT 1").await;

    assert!(report.is_ok() && after.is_ok());
    assert_eq!(sqlstate(cancelled), "57014");
}

#[tokio::test]
async fn service_time_is_divided_by_speed() {
    let mut settings = settings();
    settings.service_time = Duration::from_millis(5);
    let group = GroupStandin::start(settings).await.unwrap();
    group.turn(&name(0), MemberKnob::Speed(rudder_core::MemberSpeed(50))).unwrap();
    let client = connect(&group, 0).await;

    let start = Instant::now();
    for _ in 0..4 {
        client.batch_execute("SELECT 1").await.unwrap();
    }

    // Timers that are late shorten the statements after them, but never the sum.
    assert!(start.elapsed() >= Duration::from_millis(40), "{:?}", start.elapsed());
}

#[tokio::test]
async fn a_statement_ends_at_its_timeout() {
    let group = group().await;
    let client = connect(&group, 0).await;

    client.batch_execute("SET statement_timeout = '5ms'").await.unwrap();
    let ended = client.batch_execute("SELECT pg_sleep(600)").await;

    assert_eq!(sqlstate(ended), "57014");
}

#[tokio::test]
async fn one_connection_too_many_is_refused() {
    let settings = GroupSettings { connections: ConnectionCount(1), ..settings() };
    let group = GroupStandin::start(settings).await.unwrap();
    let kept = connect(&group, 0).await;

    let refused = try_connect(&group, 0).await;
    drop(kept);
    let again = loop {
        match try_connect(&group, 0).await {
            Ok(client) => break client,
            Err(_) => tokio::task::yield_now().await,
        }
    };

    assert_eq!(sqlstate(refused.map(drop)), "53300");
    assert!(again.batch_execute("SELECT 1").await.is_ok());
}

/// A member freezes while a client sends rows. They must not be committed before it wakes, since
/// another member may have been promoted by then.
#[tokio::test]
async fn a_frozen_member_commits_nothing() {
    let group = group().await;
    let mut client = RawClient::connect(&group, 0).await;
    client.send(vec![query("CREATE TABLE t (id int)"), query("COPY t FROM STDIN")]).await;
    client.answers(1).await;
    assert_eq!(client.answer().await, "G");

    group.turn(&name(0), MemberKnob::Frozen(true)).unwrap();
    client.send(copy_data("1\n")).await;
    let early = tokio::time::timeout(Duration::from_millis(50), client.answer()).await;
    group.control(&name(0), &ControlStatement::Fence(LogTerm(2))).unwrap();
    group.turn(&name(0), MemberKnob::Frozen(false)).unwrap();
    let answers = client.answers(1).await;

    assert!(early.is_err());
    assert_eq!(answers, "EZI");
    assert_eq!(status(&group, 0).received, LogStamp::new(1, 1));
}

/// A member freezes: it accepts connections but answers nothing. When it wakes, it answers what
/// it was asked.
#[tokio::test]
async fn a_frozen_member_answers_when_it_wakes() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let controller = connect(&group, 1).await;

    controller.batch_execute("SELECT standin.freeze('orders-1')").await.unwrap();
    let asked = tokio::spawn(async move { client.batch_execute("SELECT 1").await });
    let silent = tokio::time::timeout(Duration::from_millis(50), try_connect(&group, 0)).await;
    let answered_early = asked.is_finished();
    controller.batch_execute("SELECT standin.thaw('orders-1')").await.unwrap();

    assert!(silent.is_err() && !answered_early);
    assert!(asked.await.unwrap().is_ok());
}

#[tokio::test]
async fn a_password_must_be_proved() {
    let settings = GroupSettings { password: Some("secret".to_owned()), ..settings() };
    let group = GroupStandin::start(settings).await.unwrap();
    let (_, address) = group.members().next().unwrap();
    let login = async |password: &str| {
        let config = format!("host=127.0.0.1 port={} user=u password={password}", address.port());
        tokio_postgres::connect(&config, tokio_postgres::NoTls).await.map(drop)
    };

    let right = login("secret").await;
    let wrong = login("guess").await;

    assert!(right.is_ok(), "{right:?}");
    assert_eq!(sqlstate(wrong), "28P01");
}
