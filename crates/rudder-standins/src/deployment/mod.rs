//! A complete deployment on loopback: database groups, platform and proxies in one process.

mod links;
mod settings;

use crate::group::{GroupSettings, GroupStandin};
use crate::platform::PlatformStandin;
use arbutusrudder::{ProcessSettings, ProxyError, ProxyInstance, ProxyPolicies};
use displaydoc::Display;
pub use links::{LinkDelays, ProxyLinks};
use rudder_core::DomainName;
use rudder_settings::SettingsFile;
use rudder_store::{
    FolderChange, KubeStore, PlatformOptions, StoreError, SubmitError, submit_change,
};
use settings::plan_settings;
use std::net::SocketAddr;
use std::time::Duration;

/// Interval at which a starting deployment polls whether its proxies are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of polls; a deployment that is not ready by then has failed to start.
const READY_POLLS_MAX: u32 = 500;

/// Reason why a deployment did not start.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum DeploymentError {
    /// a socket could not be opened: {0}
    Socket(std::io::Error),
    /// the platform stand-in did not respond: {0}
    Platform(StoreError),
    /// the settings were rejected: {0}
    Settings(SubmitError),
    /// a proxy did not start: {0}
    Proxy(ProxyError),
    /// the proxies did not become ready in time
    NotReady,
}

impl std::error::Error for DeploymentError {}

impl From<std::io::Error> for DeploymentError {
    fn from(error: std::io::Error) -> Self {
        Self::Socket(error)
    }
}

impl From<StoreError> for DeploymentError {
    fn from(error: StoreError) -> Self {
        Self::Platform(error)
    }
}

impl From<SubmitError> for DeploymentError {
    fn from(error: SubmitError) -> Self {
        Self::Settings(error)
    }
}

impl From<ProxyError> for DeploymentError {
    fn from(error: ProxyError) -> Self {
        Self::Proxy(error)
    }
}

/// Configuration of a deployment.
#[derive(Clone)]
pub struct DeploymentPlan {
    /// Failure domains, each in a region of the same name. Members and proxies are assigned to
    /// them round-robin.
    pub domains: Vec<DomainName>,
    /// Database groups.
    pub groups: Vec<GroupSettings>,
    /// Number of proxies.
    pub proxies: usize,
    /// Additional settings in TOML, such as kinds of caller and timing.
    pub extra_settings: String,
    /// Additional process settings of each proxy in TOML, such as TLS, passwords and bounds.
    pub process_settings: String,
    /// One-way delays of the proxies' links.
    pub delays: LinkDelays,
    /// Decision policies of the proxies.
    pub policies: ProxyPolicies,
}

impl DeploymentPlan {
    /// Returns a plan with one group of three members in three failure domains, and `proxies`
    /// proxies.
    ///
    /// ```
    /// let plan = rudder_standins::DeploymentPlan::small(2);
    /// assert_eq!((plan.groups.len(), plan.proxies), (1, 2));
    /// ```
    #[must_use]
    pub fn small(proxies: usize) -> Self {
        let name = "the name has only allowed characters";
        let domains = ["kigali-a", "nairobi-a", "johannesburg-a"];
        Self {
            domains: domains.iter().map(|domain| domain.parse().expect(name)).collect(),
            groups: vec![GroupSettings::loopback("scores-orders".parse().expect(name))],
            proxies,
            extra_settings: String::new(),
            process_settings: String::new(),
            delays: LinkDelays::default(),
            policies: ProxyPolicies::default(),
        }
    }
}

/// A running deployment. Dropping it stops all its parts.
pub struct Deployment {
    /// Database groups, in the order of the plan.
    pub groups: Vec<GroupStandin>,
    /// Platform stand-in.
    pub platform: PlatformStandin,
    /// Proxies by index; `None` for a proxy that was taken out to leave or to be killed.
    pub proxies: Vec<Option<ProxyInstance>>,
    /// Links of each proxy to the platform and the members.
    pub links: Vec<ProxyLinks>,
    domains: Vec<DomainName>,
    process_settings: String,
    delays: LinkDelays,
    policies: ProxyPolicies,
}

impl Deployment {
    /// Starts all parts and waits until the settings are in force at each proxy.
    ///
    /// # Errors
    ///
    /// Returns a [`DeploymentError`] if a part does not start.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new()?.block_on(async {
    /// use rudder_standins::{Deployment, DeploymentPlan};
    /// let deployment = Deployment::start(DeploymentPlan::small(1)).await.unwrap();
    /// assert_eq!(deployment.proxy(0).revision(), 1);
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub async fn start(plan: DeploymentPlan) -> Result<Self, DeploymentError> {
        let mut groups = Vec::new();
        for settings in &plan.groups {
            groups.push(GroupStandin::start(settings.clone()).await?);
        }
        let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let text = plan_settings(&plan, &groups);
        let mut deployment = Self {
            groups,
            platform,
            proxies: Vec::new(),
            links: Vec::new(),
            domains: plan.domains.clone(),
            process_settings: plan.process_settings.clone(),
            delays: plan.delays,
            policies: plan.policies.clone(),
        };
        deployment.submit("10-deployment.toml", &text).await?;
        for _ in 0..plan.proxies {
            deployment.add_proxy().await?;
        }
        deployment.await_ready().await?;
        Ok(deployment)
    }

    /// Submits one settings file.
    ///
    /// # Errors
    ///
    /// Returns a [`DeploymentError`] if the platform is unreachable or the file is rejected.
    pub async fn submit(&self, name: &str, text: &str) -> Result<(), DeploymentError> {
        let store = KubeStore::connect(PlatformOptions::at(&self.platform.url()))?;
        let name = name.parse().expect("the file name has only allowed characters");
        let file = SettingsFile { name, text: text.to_owned() };
        submit_change(&store, FolderChange { put: vec![file], ..FolderChange::default() }).await?;
        Ok(())
    }

    /// Starts one more proxy in the next failure domain and returns its index.
    ///
    /// # Errors
    ///
    /// Returns a [`DeploymentError`] if the proxy does not start.
    pub async fn add_proxy(&mut self) -> Result<usize, DeploymentError> {
        let index = self.proxies.len();
        let seeds: Vec<String> = self
            .proxies
            .iter()
            .flatten()
            .map(|proxy| format!("\"{}\"", proxy.peer_address()))
            .collect();
        let domain = index % self.domains.len();
        let links = ProxyLinks::start(self, domain, &self.delays).await?;
        let text = format!(
            "instance = \"entry-{}\"\ndomain = \"{}\"\nlisten = \"127.0.0.1:0\"\n\
             admin = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\nseeds = [{}]\n\
             platform = \"http://{}\"\n{}\n{}",
            index + 1,
            self.domains[domain],
            seeds.join(", "),
            links.platform.address(),
            self.process_settings,
            links.route_settings(self),
        );
        self.links.push(links);
        let process = ProcessSettings::parse(&text).map_err(ProxyError::from)?;
        self.proxies.push(Some(ProxyInstance::start_with(process, self.policies.clone()).await?));
        Ok(index)
    }

    /// Returns a running proxy.
    ///
    /// # Panics
    ///
    /// Panics if the proxy was taken out.
    #[must_use]
    pub fn proxy(&self, index: usize) -> &ProxyInstance {
        self.proxies[index].as_ref().expect("the proxy was not taken out")
    }

    /// Returns the `libpq`-style connection string of a proxy for `user`.
    #[must_use]
    pub fn connection_string(&self, index: usize, user: &str) -> String {
        let address = self.proxy(index).listen_address();
        format!(
            "host={} port={} user={user} dbname={} sslmode=disable",
            address.ip(),
            address.port(),
            self.groups[0].service()
        )
    }

    async fn await_ready(&self) -> Result<(), DeploymentError> {
        for _ in 0..READY_POLLS_MAX {
            if self.proxies.iter().flatten().all(|proxy| proxy.revision() > 0) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err(DeploymentError::NotReady)
    }
}
