//! What callers got, as figures.

use crate::baseline::PolicyChoice;
use crate::caller::{RequestEnd, RequestSample};
use crate::load::{FinalState, RunSamples};
use crate::trace::LoadTrace;
use hdrhistogram::Histogram;
use rudder_standins::Deployment;
use serde::Serialize;
use std::error::Error;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Reads served so far, by the role of the member that served them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoleCounts {
    primary: f64,
    replica: f64,
}

impl RoleCounts {
    /// Reads the counts from a proxy's metrics page; all proxies of the process share them.
    pub(crate) async fn read(deployment: &Deployment) -> Result<Self, Box<dyn Error>> {
        let address = deployment.proxy(0).admin_address();
        let mut stream = tokio::net::TcpStream::connect(address).await?;
        let request = "GET /metrics HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await?;
        let mut page = String::new();
        stream.read_to_string(&mut page).await?;
        let count = |role: &str| {
            let line = format!("rudder_reads_total{{role=\"{role}\"}} ");
            let found = page.lines().find_map(|text| text.strip_prefix(&line));
            found.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
        };
        Ok(Self { primary: count("primary"), replica: count("replica") })
    }

    /// The counts since `before`.
    pub(crate) fn since(self, before: &Self) -> Self {
        Self { primary: self.primary - before.primary, replica: self.replica - before.replica }
    }

    fn replica_share(self) -> f64 {
        let all = self.primary + self.replica;
        if all == 0.0 { 0.0 } else { self.replica / all }
    }
}

/// Waits of one kind of caller.
#[derive(Debug, Serialize)]
pub(crate) struct KindReport {
    kind: String,
    requests: usize,
    refused: usize,
    p50_ms: f64,
    p99_ms: f64,
}

/// The figures of one run.
#[derive(Debug, Serialize)]
pub(crate) struct RunReport {
    trace: String,
    policy: String,
    reads: usize,
    writes: usize,
    /// Share of served reads that replicas served.
    replica_share: f64,
    /// Longest time without an acknowledged write in the group that a fault struck.
    gap_ms: Option<f64>,
    /// Groups whose primary was changed during the run.
    promotions: u64,
    /// Answered requests per second.
    goodput: f64,
    refused: usize,
    unknown: usize,
    failed: usize,
    broken: usize,
    kinds: Vec<KindReport>,
}

impl RunReport {
    /// Works the figures out.
    pub(crate) fn new(
        trace: &LoadTrace,
        policy: PolicyChoice,
        samples: &RunSamples,
        roles: RoleCounts,
        finals: &FinalState,
    ) -> Self {
        let requests = &samples.requests;
        let ended = |end: RequestEnd| requests.iter().filter(|sample| sample.end == end).count();
        let last = requests.iter().map(|sample| sample.ended).max().unwrap_or_default();
        let seconds = last.as_secs_f64().max(trace.seconds);
        let lost = samples.callers.iter().filter(|caller| {
            let value = finals.rows[caller.group].iter().find(|(row, _)| *row == caller.row);
            !value.is_some_and(|(_, value)| caller.allows(*value))
        });
        let broken = requests.iter().filter(|sample| sample.broken).count() + lost.count();
        let kind = |index: usize| kind_report(trace, requests, index);
        Self {
            trace: trace.name.clone(),
            policy: policy.to_string(),
            reads: requests.iter().filter(|sample| !sample.write).count(),
            writes: requests.iter().filter(|sample| sample.write).count(),
            replica_share: roles.replica_share(),
            gap_ms: gap(trace, requests).map(|gap| gap.as_secs_f64() * 1000.0),
            promotions: finals.promotions,
            goodput: ended(RequestEnd::Done) as f64 / seconds,
            refused: ended(RequestEnd::Refused),
            unknown: ended(RequestEnd::Unknown),
            failed: ended(RequestEnd::Failed),
            broken,
            kinds: (0..trace.streams.len()).map(kind).collect(),
        }
    }
}

fn kind_report(trace: &LoadTrace, requests: &[RequestSample], stream: usize) -> KindReport {
    let mut waits = Histogram::<u64>::new(3).expect("three digits are allowed");
    let own = || requests.iter().filter(move |sample| sample.stream == stream);
    for sample in own().filter(|sample| sample.end == RequestEnd::Done) {
        let wait_us = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        waits.record(wait_us).expect("the histogram grows with its values");
    }
    let wait_ms = |quantile| waits.value_at_quantile(quantile) as f64 / 1000.0;
    KindReport {
        kind: trace.streams[stream].kind.clone(),
        requests: own().count(),
        refused: own().filter(|sample| sample.end == RequestEnd::Refused).count(),
        p50_ms: wait_ms(0.5),
        p99_ms: wait_ms(0.99),
    }
}

/// The longest time without an acknowledged write of the first group, from the first fault to the
/// end of the trace.
fn gap(trace: &LoadTrace, requests: &[RequestSample]) -> Option<Duration> {
    let at = Duration::from_secs_f64(trace.faults.first()?.at);
    let end = Duration::from_secs_f64(trace.seconds);
    let mut times: Vec<Duration> = requests
        .iter()
        .filter(|sample| sample.group == 0 && sample.write && sample.end == RequestEnd::Done)
        .map(|sample| sample.ended.min(end))
        .collect();
    times.push(end);
    times.sort_unstable();
    let around = times.windows(2).filter(|pair| pair[1] >= at);
    around.map(|pair| pair[1] - pair[0]).max()
}

/// Prints a table for people.
pub(crate) fn print_table(reports: &[RunReport]) {
    println!(
        "{:28} {:13} {:>7} {:>8} {:>8} {:>9} {:>8} {:>8} {:>7} {:>6}  p50/p99 ms by kind",
        "trace",
        "policy",
        "replica",
        "gap ms",
        "promoted",
        "goodput/s",
        "refused",
        "unknown",
        "failed",
        "broken"
    );
    for report in reports {
        let kinds: Vec<String> = report
            .kinds
            .iter()
            .map(|kind| format!("{} {:.0}/{:.0}", kind.kind, kind.p50_ms, kind.p99_ms))
            .collect();
        let gap = report.gap_ms.map_or_else(|| "-".to_owned(), |gap| format!("{gap:.0}"));
        println!(
            "{:28} {:13} {:>6.1}% {:>8} {:>8} {:>9.0} {:>8} {:>8} {:>7} {:>6}  {}",
            report.trace,
            report.policy,
            report.replica_share * 100.0,
            gap,
            report.promotions,
            report.goodput,
            report.refused,
            report.unknown,
            report.failed,
            report.broken,
            kinds.join("  ")
        );
    }
}
