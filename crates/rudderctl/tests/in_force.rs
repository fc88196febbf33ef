//! Accepted settings at running proxies: in force everywhere, and never back.

use rudder_standins::{Deployment, DeploymentPlan, PlatformFaults, PlatformOutage};
use std::time::Duration;

const PROXIES: usize = 3;
const PAUSE: Duration = Duration::from_millis(20);
/// A state that has not come after so many looks, a minute, would never come.
const LOOKS_MAX: usize = 3000;

async fn deployment() -> Deployment {
    Deployment::start(DeploymentPlan::small(PROXIES)).await.expect("it starts on loopback")
}

fn read_wait(millis: u32) -> String {
    format!("[timing]\nread_wait = \"{millis}ms\"\n")
}

async fn until(what: &str, reached: impl Fn() -> bool) {
    for _ in 0..LOOKS_MAX {
        if reached() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never came: {what}");
}

fn revisions(deployment: &Deployment) -> Vec<u64> {
    (0..deployment.proxies.len()).map(|index| deployment.proxy(index).revision()).collect()
}

/// The link between one proxy and the platform is cut, both ways and without a word. Settings that
/// are accepted meanwhile must reach it all the same, or it goes on sending work to a member that
/// an operator has drained.
#[tokio::test(flavor = "multi_thread")]
async fn proxy_cut_off_from_the_platform_follows_its_peers() {
    let deployment = deployment().await;
    deployment.links[2].platform.cut();

    deployment.submit("20-wait.toml", &read_wait(40)).await.unwrap();

    until("revision 2 at every proxy", || revisions(&deployment) == [2; PROXIES]).await;
}

/// A proxy is replaced while the platform is down for everybody. It has no disk; without its peers
/// it could serve nobody until the outage ends.
#[tokio::test(flavor = "multi_thread")]
async fn proxy_that_starts_in_an_outage_takes_settings_from_a_peer() {
    let mut deployment = deployment().await;
    deployment.submit("20-wait.toml", &read_wait(40)).await.unwrap();
    until("revision 2 at every proxy", || revisions(&deployment) == [2; PROXIES]).await;
    let outage = PlatformOutage::Refused;
    deployment.platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });

    let newcomer = deployment.add_proxy().await.unwrap();

    until("revision 2 at the newcomer", || deployment.proxy(newcomer).revision() == 2).await;
}

/// The platform answers reads from a copy that is two submissions old, to all proxies and for
/// several polls, and one more proxy starts from it. What operators replaced must not come back.
#[tokio::test(flavor = "multi_thread")]
async fn old_copy_of_the_platform_reverts_no_proxy() {
    let mut deployment = deployment().await;
    for millis in [40, 50] {
        deployment.submit("20-wait.toml", &read_wait(millis)).await.unwrap();
    }
    until("revision 3 at every proxy", || revisions(&deployment) == [3; PROXIES]).await;
    deployment.platform.set_faults(PlatformFaults { stale_by: 2, ..PlatformFaults::default() });

    let polled_since = deployment.platform.calls().reads;
    let newcomer = deployment.add_proxy().await.unwrap();
    let polls = u64::try_from(4 * PROXIES).unwrap();
    until("several stale polls", || {
        assert_eq!(revisions(&deployment)[..PROXIES], [3; PROXIES]);
        deployment.platform.calls().reads >= polled_since + polls
    })
    .await;

    assert_eq!(revisions(&deployment)[..PROXIES], [3; PROXIES]);
    until("revision 3 at the newcomer", || deployment.proxy(newcomer).revision() == 3).await;
}
