//! Trace of a load: streams of requests and the times of faults, read from a TOML file.

use crate::baseline::PolicyChoice;
use rudder_core::{ConnectionCount, MemberSpeed, SlotCount};
use rudder_standins::{DeploymentPlan, GroupSettings, LinkDelays, ServiceDistribution};
use serde::Deserialize;
use std::error::Error;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// Length of a trace in a brief run, as a fraction of its full length.
const BRIEF_FRACTION: f64 = 0.4;

/// Deployment that a trace runs against, modelled on a user's.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum DeploymentKind {
    /// Inanga Scores.
    Inanga,
    /// Cyflwr Ffyrdd.
    Cyflwr,
}

/// Action of a scheduled fault.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum FaultAction {
    /// Stops the primary of the first group.
    KillPrimary,
    /// Isolates the primary of the first group from members and proxies while it keeps running.
    CutPrimary,
    /// Cuts the link from the first proxy to the primary of the first group.
    CutOneLink,
    /// Sets the delay of every link to a member to 20 ms plus a jitter of up to 60 ms, drawn for
    /// each message.
    Jitter,
    /// Cuts every proxy's link to the platform.
    PlatformDown,
    /// Restores the links to the platform.
    PlatformUp,
}

/// A stream of requests of one kind of caller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadStream {
    /// Kind of caller.
    pub(crate) kind: String,
    /// Number of callers, distributed evenly over proxies and groups.
    pub(crate) callers: usize,
    /// Requests per second of all callers of the stream together.
    pub(crate) rate: f64,
    /// Number of reads after each write; zero for reads only, one for writes only.
    pub(crate) reads_per_write: u32,
    /// Maximum staleness that reads accept, in milliseconds.
    pub(crate) staleness_ms: u64,
    /// Whether requests of the kind are shed before others under overload.
    #[serde(default)]
    pub(crate) shed_first: bool,
    /// Start of the stream, in seconds.
    #[serde(default)]
    pub(crate) from: f64,
    /// End of the stream, in seconds; zero for the end of the trace.
    #[serde(default)]
    pub(crate) until: f64,
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TraceFault {
    /// Time of the fault, in seconds from the start.
    pub(crate) at: f64,
    /// Action of the fault.
    pub(crate) action: FaultAction,
}

/// A trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadTrace {
    /// Name of the trace in reports.
    pub(crate) name: String,
    /// Deployment that the trace runs against.
    pub(crate) deployment: DeploymentKind,
    /// Length of the trace in seconds.
    pub(crate) seconds: f64,
    /// Mean service time of a statement at full speed, in milliseconds.
    pub(crate) service_ms: f64,
    /// Time before a replica applies a received entry, in milliseconds.
    pub(crate) lag_ms: u64,
    /// Speeds of the members in percent.
    pub(crate) speeds: Vec<u32>,
    /// Whether a brief run skips the trace.
    #[serde(default)]
    pub(crate) full_only: bool,
    /// Whether a brief run measures a baseline too.
    #[serde(default)]
    pub(crate) baselines_in_brief: bool,
    /// Streams of requests.
    #[serde(rename = "stream")]
    pub(crate) streams: Vec<LoadStream>,
    /// Scheduled faults.
    #[serde(default, rename = "fault")]
    pub(crate) faults: Vec<TraceFault>,
}

/// Reads the traces of a folder, sorted by file name.
pub(crate) fn read_traces(folder: &Path) -> Result<Vec<LoadTrace>, Box<dyn Error>> {
    let mut paths: Vec<_> =
        std::fs::read_dir(folder)?.filter_map(Result::ok).map(|entry| entry.path()).collect();
    paths.sort();
    let mut traces = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(&path)?;
        let trace =
            toml::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
        traces.push(trace);
    }
    Ok(traces)
}

impl LoadTrace {
    /// Returns the trace shortened to [`BRIEF_FRACTION`] of its length.
    pub(crate) fn shortened(mut self) -> Self {
        self.seconds *= BRIEF_FRACTION;
        for stream in &mut self.streams {
            stream.from *= BRIEF_FRACTION;
            stream.until *= BRIEF_FRACTION;
        }
        for fault in &mut self.faults {
            fault.at *= BRIEF_FRACTION;
        }
        self
    }

    /// Returns the plan of the deployment that the trace runs against.
    pub(crate) fn plan(&self, policy: PolicyChoice, seed: u64) -> DeploymentPlan {
        let message = "the name has only allowed characters";
        let (domains, services, proxies) = match self.deployment {
            DeploymentKind::Inanga => (
                ["kigali-a", "nairobi-a", "johannesburg-a"],
                ["scores-orders", "scores-pages", "scores-proofs"],
                7,
            ),
            DeploymentKind::Cyflwr => (
                ["bangor", "caerdydd", "drenewydd"],
                ["survey-sheets", "survey-signoffs", "survey-maps"],
                6,
            ),
        };
        let groups = services.iter().map(|service| self.group(service, seed)).collect();
        DeploymentPlan {
            domains: domains.iter().map(|domain| domain.parse().expect(message)).collect(),
            groups,
            proxies,
            extra_settings: self.caller_settings(policy),
            process_settings: String::new(),
            delays: LinkDelays {
                same_domain: Duration::from_micros(200),
                other_domain: self.region_delay(),
                platform: Duration::from_millis(2),
            },
            policies: policy.policies(),
        }
    }

    /// Returns the one-way delay between two failure domains, each of which is its own region.
    fn region_delay(&self) -> Duration {
        match self.deployment {
            DeploymentKind::Inanga => Duration::from_millis(12),
            DeploymentKind::Cyflwr => Duration::from_millis(20),
        }
    }

    fn group(&self, service: &str, seed: u64) -> GroupSettings {
        let message = "the name has only allowed characters";
        let mut settings = GroupSettings::loopback(service.parse().expect(message));
        let (slots, connections) = match self.deployment {
            DeploymentKind::Inanga => (5, 30),
            DeploymentKind::Cyflwr => (3, 40),
        };
        settings.slots = SlotCount(slots);
        settings.connections = ConnectionCount(connections);
        settings.service_time = Duration::from_secs_f64(self.service_ms / 1000.0);
        settings.service_distribution = ServiceDistribution::Exponential;
        settings.connect_time = Duration::from_millis(12);
        settings.link_delay = self.region_delay();
        settings.apply_lag = Duration::from_millis(self.lag_ms);
        settings.seed = seed;
        for (member, speed) in settings.members.iter_mut().zip(&self.speeds) {
            member.speed = MemberSpeed(*speed);
        }
        settings
    }

    fn caller_settings(&self, policy: PolicyChoice) -> String {
        let mut text = String::new();
        let (in_flight_max, queue_wait) = policy.caller_limits();
        for (index, stream) in self.streams.iter().enumerate() {
            let shed = if stream.shed_first { "first" } else { "last" };
            writeln!(
                text,
                "[callers.{kind}]\nusers = [\"{kind}-{index}\"]\nstaleness = \"{}ms\"\n\
                 shed = \"{shed}\"\nin_flight_max = {in_flight_max}\nqueue_wait = \"{queue_wait}\"",
                stream.staleness_ms,
                kind = stream.kind,
            )
            .expect("writing to a string does not fail");
        }
        text
    }
}
