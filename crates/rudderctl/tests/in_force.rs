//! Distribution of accepted settings to running proxies: they reach all, and none reverts.

use rudder_standins::{Deployment, DeploymentPlan, PlatformFaults, PlatformOutage};
use std::time::Duration;

const PROXY_COUNT: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Polls before a test fails because an expected state was not reached: one minute.
const POLLS_MAX: usize = 3000;

async fn deployment() -> Deployment {
    Deployment::start(DeploymentPlan::small(PROXY_COUNT)).await.expect("it starts on loopback")
}

fn read_wait(millis: u32) -> String {
    format!("[timing]\nread_wait = \"{millis}ms\"\n")
}

async fn wait_until(state: &str, reached: impl Fn() -> bool) {
    for _ in 0..POLLS_MAX {
        if reached() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("state not reached: {state}");
}

fn revisions(deployment: &Deployment) -> Vec<u64> {
    (0..deployment.proxies.len()).map(|index| deployment.proxy(index).revision()).collect()
}

/// The link between one proxy and the platform fails silently in both directions. Settings that are
/// accepted meanwhile must still reach the proxy, or it would keep sending work to a member that an
/// operator has drained.
#[tokio::test(flavor = "multi_thread")]
async fn proxy_without_the_platform_gets_settings_from_its_peers() {
    let deployment = deployment().await;
    deployment.links[2].platform.cut();

    deployment.submit("20-wait.toml", &read_wait(40)).await.unwrap();

    wait_until("revision 2 at every proxy", || revisions(&deployment) == [2; PROXY_COUNT]).await;
}

/// A proxy is replaced while the platform is down. It has no disk, so without settings from its
/// peers it could not serve callers until the outage ends.
#[tokio::test(flavor = "multi_thread")]
async fn proxy_that_starts_in_an_outage_takes_settings_from_a_peer() {
    let mut deployment = deployment().await;
    deployment.submit("20-wait.toml", &read_wait(40)).await.unwrap();
    wait_until("revision 2 at every proxy", || revisions(&deployment) == [2; PROXY_COUNT]).await;
    let outage = PlatformOutage::Refused;
    deployment.platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });

    let added_proxy = deployment.add_proxy().await.unwrap();

    wait_until("revision 2 at the added proxy", || deployment.proxy(added_proxy).revision() == 2)
        .await;
}

/// With `--wait`, the output "switched" must mean that the keepers made the member primary, not
/// only that the order was stored.
#[tokio::test(flavor = "multi_thread")]
async fn switch_command_waits_until_the_switch_is_done() {
    let deployment = deployment().await;
    let url = deployment.platform.url();
    let command = |target: &str| {
        let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_rudderctl"));
        command.args(["switch", "scores-orders", "--to", target, "--wait", "60"]);
        command.args(["--platform", &url]);
        command
    };

    let members = member_names(&deployment).await;
    let output = command(&members[1]).output().await.unwrap();

    let stdout = String::from_utf8(output.stdout).unwrap();
    let error = String::from_utf8(output.stderr).unwrap();
    assert_eq!(stdout, format!("scores-orders switched to {}\n", members[1]), "{error}");
}

async fn member_names(deployment: &Deployment) -> Vec<String> {
    let options = rudder_store::PlatformOptions::at(&deployment.platform.url());
    let store = rudder_store::KubeStore::connect(options).expect("it is a URL");
    let bundle = rudder_store::poll_revision(&store, None).await.expect("it answers");
    let folder = bundle.expect("it was submitted").merge().expect("it is valid");
    folder.fleet.services[0].members.iter().map(|member| member.name.to_string()).collect()
}

/// The platform serves reads from a copy that is two submissions old, for several polls of all
/// proxies and at the start of another one. No proxy may return to settings that were replaced.
#[tokio::test(flavor = "multi_thread")]
async fn old_copy_of_the_platform_reverts_no_proxy() {
    let mut deployment = deployment().await;
    for millis in [40, 50] {
        deployment.submit("20-wait.toml", &read_wait(millis)).await.unwrap();
    }
    wait_until("revision 3 at every proxy", || revisions(&deployment) == [3; PROXY_COUNT]).await;
    deployment.platform.set_faults(PlatformFaults { stale_by: 2, ..PlatformFaults::default() });

    let polled_since = deployment.platform.calls().reads;
    let added_proxy = deployment.add_proxy().await.unwrap();
    let polls = u64::try_from(4 * PROXY_COUNT).unwrap();
    wait_until("several stale polls", || {
        assert_eq!(revisions(&deployment)[..PROXY_COUNT], [3; PROXY_COUNT]);
        deployment.platform.calls().reads >= polled_since + polls
    })
    .await;

    assert_eq!(revisions(&deployment)[..PROXY_COUNT], [3; PROXY_COUNT]);
    wait_until("revision 3 at the added proxy", || deployment.proxy(added_proxy).revision() == 3)
        .await;
}
