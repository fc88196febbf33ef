//! A recorded load: streams of requests, and faults at their times.

use crate::baseline::PolicyChoice;
use rudder_core::{ConnectionCount, MemberSpeed, SlotCount};
use rudder_standins::{DeploymentPlan, GroupSettings, LinkDelays, ServiceSpread};
use serde::Deserialize;
use std::error::Error;
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

/// Length of a trace in the brief form, as a part of its whole length.
const BRIEF_PART: f64 = 0.4;

/// The two deployments of the users.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub(crate) enum DeploymentKind {
    /// Inanga Scores.
    Inanga,
    /// Cyflwr Ffyrdd.
    Cyflwr,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum FaultAction {
    /// The primary of the first group dies.
    KillPrimary,
    /// The primary of the first group is cut off from members and proxies, but lives.
    CutPrimary,
    /// The primary of the first group can be reached by every proxy but the first.
    CutOneLink,
    /// Every link to a member takes up to 60 ms more, differently for each message.
    Jitter,
    /// The platform does not answer.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
}

/// A stream of requests of one kind of caller.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadStream {
    /// The kind of caller.
    pub(crate) kind: String,
    /// How many callers, spread over proxies and groups.
    pub(crate) callers: usize,
    /// Requests per second of all of them together.
    pub(crate) rate: f64,
    /// A write comes before every so many reads; zero for reads only, one for writes only.
    pub(crate) reads_per_write: u32,
    /// Greatest age that reads accept, in milliseconds.
    pub(crate) staleness_ms: u64,
    /// Whether the kind is turned away before others.
    #[serde(default)]
    pub(crate) shed_first: bool,
    /// When the stream begins, in seconds.
    #[serde(default)]
    pub(crate) from: f64,
    /// When it ends; zero for the end of the trace.
    #[serde(default)]
    pub(crate) until: f64,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TraceFault {
    /// When, in seconds.
    pub(crate) at: f64,
    /// What.
    pub(crate) action: FaultAction,
}

/// A whole trace.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct LoadTrace {
    /// Its name.
    pub(crate) name: String,
    /// The deployment.
    pub(crate) deployment: DeploymentKind,
    /// Its length in seconds.
    pub(crate) seconds: f64,
    /// Mean service time of a statement at full speed, in milliseconds.
    pub(crate) service_ms: f64,
    /// How far replicas trail, in milliseconds.
    pub(crate) lag_ms: u64,
    /// Speeds of the members in percent.
    pub(crate) speeds: Vec<u32>,
    /// Whether the brief form leaves the trace out.
    #[serde(default)]
    pub(crate) full_only: bool,
    /// Whether the brief form runs the baselines too.
    #[serde(default)]
    pub(crate) baselines_in_brief: bool,
    /// The streams.
    #[serde(rename = "stream")]
    pub(crate) streams: Vec<LoadStream>,
    /// The faults.
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
    /// The trace at a part of its length.
    pub(crate) fn shortened(mut self) -> Self {
        self.seconds *= BRIEF_PART;
        for stream in &mut self.streams {
            stream.from *= BRIEF_PART;
            stream.until *= BRIEF_PART;
        }
        for fault in &mut self.faults {
            fault.at *= BRIEF_PART;
        }
        self
    }

    /// The deployment that the trace asks for.
    pub(crate) fn plan(&self, policy: PolicyChoice, seed: u64) -> DeploymentPlan {
        let name = "the name has only allowed characters";
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
            domains: domains.iter().map(|domain| domain.parse().expect(name)).collect(),
            groups,
            proxies,
            extra: self.callers_text(policy),
            process: String::new(),
            delays: LinkDelays {
                near: Duration::from_micros(200),
                far: self.region_delay(),
                platform: Duration::from_millis(2),
            },
            policies: policy.policies(),
        }
    }

    /// One way between the failure domains, each of which is a region of its own.
    fn region_delay(&self) -> Duration {
        match self.deployment {
            DeploymentKind::Inanga => Duration::from_millis(12),
            DeploymentKind::Cyflwr => Duration::from_millis(20),
        }
    }

    fn group(&self, service: &str, seed: u64) -> GroupSettings {
        let name = "the name has only allowed characters";
        let mut settings = GroupSettings::loopback(service.parse().expect(name));
        let (slots, connections) = match self.deployment {
            DeploymentKind::Inanga => (5, 30),
            DeploymentKind::Cyflwr => (3, 40),
        };
        settings.slots = SlotCount(slots);
        settings.connections = ConnectionCount(connections);
        settings.service_time = Duration::from_secs_f64(self.service_ms / 1000.0);
        settings.spread = ServiceSpread::Exponential;
        settings.connect_time = Duration::from_millis(12);
        settings.link_delay = self.region_delay();
        settings.apply_lag = Duration::from_millis(self.lag_ms);
        settings.seed = seed;
        for (member, speed) in settings.members.iter_mut().zip(&self.speeds) {
            member.speed = MemberSpeed(*speed);
        }
        settings
    }

    fn callers_text(&self, policy: PolicyChoice) -> String {
        let mut text = String::new();
        let (in_flight_max, queue_wait) = policy.caller_bounds();
        for (index, stream) in self.streams.iter().enumerate() {
            let shed = if stream.shed_first { "first" } else { "last" };
            writeln!(
                text,
                "[callers.{kind}]\nusers = [\"{kind}-{index}\"]\nstaleness = \"{}ms\"\n\
                 shed = \"{shed}\"\nin_flight_max = {in_flight_max}\nqueue_wait = \"{queue_wait}\"",
                stream.staleness_ms,
                kind = stream.kind,
            )
            .expect("a string takes everything");
        }
        text
    }
}
