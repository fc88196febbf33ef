//! Connections that violate the protocol, stay idle or exceed the maximum.

use crate::common::{connect, plan, rows_of};
use crate::raw::RawClient;
use futures::StreamExt;
use rudder_standins::{Deployment, DeploymentPlan};

/// Number of concurrent idle connections.
const IDLE_CALLERS: usize = 5_000;

/// Number of concurrent logins.
const CONCURRENT_LOGINS: usize = 100;

fn short_timeouts_plan() -> DeploymentPlan {
    let mut plan = plan(1);
    plan.extra_settings.push_str("[timing]\nlogin_timeout = \"300ms\"\nidle_timeout = \"1s\"\n");
    plan
}

/// Returns the types of all replies until the connection is closed.
async fn read_to_close(client: &mut RawClient) -> String {
    let mut types = String::new();
    while let Some(next) = client.next_reply().await {
        types.push_str(&next);
    }
    types
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_startup_closes_the_connection() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let starts: [&[u8]; 5] = [
        b"GET / HTTP/1.1\r\n\r\n",
        &[0, 0, 0, 4],
        &[0xff; 64],
        &[0, 0, 0, 9, 0, 2, 0, 0, 0],
        &[0, 0, 0, 14, 0, 3, 0, 0, b'u', b's', b'e', b'r', 0, 0xff],
    ];

    for start in starts {
        let mut client = RawClient::open(&deployment).await;
        client.out.extend_from_slice(start);
        client.send().await;
        let types = read_to_close(&mut client).await;
        assert!(types.is_empty() || types == "E", "{start:?}: {types}");
    }

    let (client, _) = connect(&deployment, 0, "copyist").await;
    assert_eq!(rows_of(&client, "SELECT 1").await, ["1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_frames_close_the_connection_with_an_error() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let frames: [&[u8]; 7] = [
        b"?\0\0\0\x04",
        b"Q\0\0\0\x03",
        b"Q\x7f\xff\xff\xff",
        b"Q\0\0\0\x07abc",
        b"Q\0\0\0\x06\xff\0",
        b"P\0\0\0\x05x",
        // A Describe whose length is that of a large row; its parts must not be read as messages.
        b"D\x40\0\0\0Sx",
    ];

    for frame in frames {
        let mut client = RawClient::login(&deployment, &[]).await;
        client.out.extend_from_slice(frame);
        client.send().await;
        let types = read_to_close(&mut client).await;
        assert_eq!((types.as_str(), client.errors.as_slice()), ("E", &["08P01".to_owned()][..]));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unfinished_login_and_an_idle_caller_are_disconnected() {
    let deployment = Deployment::start(short_timeouts_plan()).await.expect("deployment starts");
    let mut unfinished = RawClient::open(&deployment).await;
    unfinished.out.extend_from_slice(&[0, 0, 0, 80, 0, 3, 0, 0]);
    unfinished.send().await;
    let mut idle = RawClient::login(&deployment, &[]).await;

    let unfinished = read_to_close(&mut unfinished).await;
    let types = read_to_close(&mut idle).await;

    assert_eq!((unfinished.as_str(), types.as_str()), ("", "E"));
    assert_eq!(idle.errors, ["57P05"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_beyond_the_limit_get_an_error() {
    let process_settings = "callers_max = 2\n".to_owned();
    let plan = DeploymentPlan { process_settings, ..plan(1) };
    let deployment = Deployment::start(plan).await.expect("deployment starts");
    let (first, _) = connect(&deployment, 0, "copyist").await;
    let _second = connect(&deployment, 0, "copyist").await;

    let mut third = RawClient::open(&deployment).await;
    let types = read_to_close(&mut third).await;

    assert_eq!((types.as_str(), third.errors.as_slice()), ("E", &["53300".to_owned()][..]));
    assert_eq!(rows_of(&first, "SELECT 1").await, ["1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn five_thousand_idle_callers_stay_connected_and_are_served() {
    let deployment = Deployment::start(plan(1)).await.expect("deployment starts");
    let logins = (0..IDLE_CALLERS).map(|_| RawClient::login(&deployment, &[]));

    let mut callers: Vec<RawClient> =
        futures::stream::iter(logins).buffer_unordered(CONCURRENT_LOGINS).collect().await;
    let (client, _) = connect(&deployment, 0, "copyist").await;
    let served = rows_of(&client, "SELECT 1").await;
    let mut answered = 0;
    for caller in callers.iter_mut().step_by(500) {
        answered += usize::from(caller.query("SELECT 1").replies(1).await == "TDCZI");
    }

    assert_eq!((callers.len(), served.as_slice(), answered), (5_000, &["1".to_owned()][..], 10));
}
