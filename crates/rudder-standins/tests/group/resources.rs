//! Slots, service times, timeouts, connection limits, passwords and frozen members.

use crate::raw::{RawClient, copy_data, query};
use crate::support::{connect, group, name, settings, sqlstate, status, try_connect};
use rudder_core::{ConnectionCount, ControlStatement, LogStamp, LogTerm, SlotCount};
use rudder_standins::{GroupSettings, GroupStandin, MemberKnob};
use std::time::{Duration, Instant};

/// While all slots of a member are in use, statements wait. The status must be returned at once, as
/// decisions on the member's role depend on it.
#[tokio::test]
async fn statements_wait_for_slots_but_status_does_not() {
    let group =
        GroupStandin::start(GroupSettings { slots: SlotCount(1), ..settings() }).await.unwrap();
    let (busy, other) = (connect(&group, 0).await, connect(&group, 0).await);
    let token = busy.cancel_token();
    let occupying = tokio::spawn(async move { busy.batch_execute("SELECT pg_sleep(600)").await });
    let third = loop {
        let statement = other.batch_execute("SELECT 1");
        match tokio::time::timeout(Duration::from_millis(20), statement).await {
            Ok(done) => done.unwrap(),
            Err(_) => break connect(&group, 0).await,
        }
    };

    let status = third.simple_query("SHOW rudder.status").await;
    while !occupying.is_finished() {
        token.cancel_query(tokio_postgres::NoTls).await.unwrap();
    }
    let cancelled = occupying.await.unwrap();
    let after = other.batch_execute("SELECT 1").await;

    assert!(status.is_ok() && after.is_ok());
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

    // A timer that fires late shortens the following statements but never the total.
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
async fn connections_above_the_limit_are_rejected() {
    let settings = GroupSettings { connections: ConnectionCount(1), ..settings() };
    let group = GroupStandin::start(settings).await.unwrap();
    let first = connect(&group, 0).await;

    let refused = try_connect(&group, 0).await;
    drop(first);
    let again = loop {
        match try_connect(&group, 0).await {
            Ok(client) => break client,
            Err(_) => tokio::task::yield_now().await,
        }
    };

    assert_eq!(sqlstate(refused.map(drop)), "53300");
    assert!(again.batch_execute("SELECT 1").await.is_ok());
}

/// Rows sent to a frozen member must not be committed before it thaws, since another member may
/// have been promoted by then.
#[tokio::test]
async fn a_frozen_member_commits_nothing() {
    let group = group().await;
    let mut client = RawClient::connect(&group, 0).await;
    client.send(vec![query("CREATE TABLE t (id int)"), query("COPY t FROM STDIN")]).await;
    client.response_types(1).await;
    assert_eq!(client.next_type().await, "G");

    group.turn(&name(0), MemberKnob::Frozen(true)).unwrap();
    client.send(copy_data("1\n")).await;
    let early = tokio::time::timeout(Duration::from_millis(50), client.next_type()).await;
    group.control(&name(0), &ControlStatement::Fence(LogTerm(2))).unwrap();
    group.turn(&name(0), MemberKnob::Frozen(false)).unwrap();
    let types = client.response_types(1).await;

    assert!(early.is_err());
    assert_eq!(types, "EZI");
    assert_eq!(status(&group, 0).received, LogStamp::new(1, 1));
}

/// A frozen member accepts connections without responding, and responds to pending requests after
/// it thaws.
#[tokio::test]
async fn a_frozen_member_responds_after_it_thaws() {
    let group = group().await;
    let client = connect(&group, 0).await;
    let controller = connect(&group, 1).await;

    controller.batch_execute("SELECT standin.freeze('orders-1')").await.unwrap();
    let request = tokio::spawn(async move { client.batch_execute("SELECT 1").await });
    let connecting = tokio::time::timeout(Duration::from_millis(50), try_connect(&group, 0)).await;
    let finished_early = request.is_finished();
    controller.batch_execute("SELECT standin.thaw('orders-1')").await.unwrap();

    assert!(connecting.is_err() && !finished_early);
    assert!(request.await.unwrap().is_ok());
}

#[tokio::test]
async fn login_requires_the_password() {
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
