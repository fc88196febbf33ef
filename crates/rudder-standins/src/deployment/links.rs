//! Links from a proxy to the platform and the members.

use super::{Deployment, DeploymentError};
use crate::link::{LinkSettings, LinkStandin};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// One-way delays of a proxy's links.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkDelays {
    /// Delay to a member in the same failure domain.
    pub same_domain: Duration,
    /// Delay to a member in another failure domain.
    pub other_domain: Duration,
    /// Delay to the platform.
    pub platform: Duration,
}

/// Links of one proxy. Each can be slowed, cut and healed independently.
pub struct ProxyLinks {
    /// Link to the platform.
    pub platform: LinkStandin,
    /// Links to the members, by group and member in the order of the plan.
    pub members: Vec<Vec<LinkStandin>>,
}

impl ProxyLinks {
    /// Opens the links of a proxy in the failure domain of index `domain`.
    pub(super) async fn start(
        deployment: &Deployment,
        domain: usize,
        delays: &LinkDelays,
    ) -> Result<Self, DeploymentError> {
        let platform = open(deployment.platform.address(), delays.platform).await?;
        let mut members = Vec::new();
        for group in &deployment.groups {
            let mut links = Vec::new();
            for (index, (_, address)) in group.members().enumerate() {
                let is_same_domain = index % deployment.domains.len() == domain;
                let delay = if is_same_domain { delays.same_domain } else { delays.other_domain };
                links.push(open(address, delay).await?);
            }
            members.push(links);
        }
        Ok(Self { platform, members })
    }

    /// Returns the process settings that make the proxy connect to members over these links.
    pub(super) fn route_settings(&self, deployment: &Deployment) -> String {
        let mut text = String::new();
        for (group, links) in deployment.groups.iter().zip(&self.members) {
            for ((_, declared), link) in group.members().zip(links) {
                let reached = link.address();
                writeln!(text, "[[routes]]\ndeclared = \"{declared}\"\nreached = \"{reached}\"")
                    .expect("a string takes everything");
            }
        }
        text
    }
}

async fn open(target: SocketAddr, delay: Duration) -> Result<LinkStandin, DeploymentError> {
    let settings = LinkSettings { delay, ..LinkSettings::loopback(target) };
    Ok(LinkStandin::start(&settings).await?)
}
