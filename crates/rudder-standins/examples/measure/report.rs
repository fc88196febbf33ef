//! Figures of a run, as callers saw it.

use crate::baseline::PolicyChoice;
use crate::caller::{RequestOutcome, RequestSample};
use crate::load::{FinalState, RunSamples};
use crate::trace::LoadTrace;
use hdrhistogram::Histogram;
use rudder_standins::Deployment;
use serde::Serialize;
use std::error::Error;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Number of reads served so far, by the role of the member that served them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoleCounts {
    primary: f64,
    replica: f64,
}

impl RoleCounts {
    /// Reads the counts from one proxy's metrics page. All proxies run in this process and share
    /// its metrics.
    pub(crate) async fn read(deployment: &Deployment) -> Result<Self, Box<dyn Error>> {
        let address = deployment.proxy(0).admin_address();
        let mut stream = tokio::net::TcpStream::connect(address).await?;
        let request = "GET /metrics HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await?;
        let mut page = String::new();
        stream.read_to_string(&mut page).await?;
        let count = |role: &str| {
            let prefix = format!("rudder_reads_total{{role=\"{role}\"}} ");
            let found = page.lines().find_map(|text| text.strip_prefix(&prefix));
            found.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
        };
        Ok(Self { primary: count("primary"), replica: count("replica") })
    }

    /// Returns the difference to the earlier counts `before`.
    pub(crate) fn since(self, before: &Self) -> Self {
        Self { primary: self.primary - before.primary, replica: self.replica - before.replica }
    }

    fn replica_share(self) -> f64 {
        let all = self.primary + self.replica;
        if all == 0.0 { 0.0 } else { self.replica / all }
    }
}

/// Latencies and rejected requests of one kind of caller.
#[derive(Debug, Serialize)]
pub(crate) struct KindReport {
    kind: String,
    requests: usize,
    refused: usize,
    p50_ms: f64,
    p99_ms: f64,
}

/// Figures of one run.
#[derive(Debug, Serialize)]
pub(crate) struct RunReport {
    trace: String,
    policy: String,
    reads: usize,
    writes: usize,
    /// Share of served reads that replicas served.
    replica_share: f64,
    /// Longest time without an acknowledged write in the first group, in which faults are injected.
    gap_ms: Option<f64>,
    /// Number of groups whose primary was replaced during the run.
    promotions: u64,
    /// Successful requests per second.
    goodput: f64,
    refused: usize,
    unknown: usize,
    failed: usize,
    /// Number of violations of read-your-writes and of callers whose final row is inconsistent with
    /// their writes.
    broken: usize,
    kinds: Vec<KindReport>,
}

impl RunReport {
    /// Computes the figures of a run from its samples.
    pub(crate) fn new(
        trace: &LoadTrace,
        policy: PolicyChoice,
        samples: &RunSamples,
        roles: RoleCounts,
        final_state: &FinalState,
    ) -> Self {
        let requests = &samples.requests;
        let count = |outcome: RequestOutcome| {
            requests.iter().filter(|sample| sample.outcome == outcome).count()
        };
        let last_end = requests.iter().map(|sample| sample.ended).max().unwrap_or_default();
        let seconds = last_end.as_secs_f64().max(trace.seconds);
        let inconsistent = samples.callers.iter().filter(|caller| {
            let value = final_state.rows[caller.group].iter().find(|(row, _)| *row == caller.row);
            !value.is_some_and(|(_, value)| caller.allows(*value))
        });
        let broken =
            requests.iter().filter(|sample| sample.violation).count() + inconsistent.count();
        let kind = |index: usize| kind_report(trace, requests, index);
        Self {
            trace: trace.name.clone(),
            policy: policy.to_string(),
            reads: requests.iter().filter(|sample| !sample.write).count(),
            writes: requests.iter().filter(|sample| sample.write).count(),
            replica_share: roles.replica_share(),
            gap_ms: longest_gap(trace, requests).map(|gap| gap.as_secs_f64() * 1000.0),
            promotions: final_state.promotions,
            goodput: count(RequestOutcome::Done) as f64 / seconds,
            refused: count(RequestOutcome::Refused),
            unknown: count(RequestOutcome::Unknown),
            failed: count(RequestOutcome::Failed),
            broken,
            kinds: (0..trace.streams.len()).map(kind).collect(),
        }
    }
}

fn kind_report(trace: &LoadTrace, requests: &[RequestSample], stream: usize) -> KindReport {
    let mut latencies = Histogram::<u64>::new(3).expect("three digits are allowed");
    let stream_samples = || requests.iter().filter(move |sample| sample.stream == stream);
    for sample in stream_samples().filter(|sample| sample.outcome == RequestOutcome::Done) {
        let latency_us = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        latencies.record(latency_us).expect("the histogram grows with its values");
    }
    let latency_ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1000.0;
    KindReport {
        kind: trace.streams[stream].kind.clone(),
        requests: stream_samples().count(),
        refused: stream_samples()
            .filter(|sample| sample.outcome == RequestOutcome::Refused)
            .count(),
        p50_ms: latency_ms(0.5),
        p99_ms: latency_ms(0.99),
    }
}

/// Returns the longest time without an acknowledged write of the first group, from the first fault
/// to the end of the trace. A gap in which the fault occurs counts in full.
fn longest_gap(trace: &LoadTrace, requests: &[RequestSample]) -> Option<Duration> {
    let fault_time = Duration::from_secs_f64(trace.faults.first()?.at);
    let end = Duration::from_secs_f64(trace.seconds);
    let mut times: Vec<Duration> = requests
        .iter()
        .filter(|sample| {
            sample.group == 0 && sample.write && sample.outcome == RequestOutcome::Done
        })
        .map(|sample| sample.ended.min(end))
        .collect();
    times.push(end);
    times.sort_unstable();
    let gaps = times.windows(2).filter(|pair| pair[1] >= fault_time);
    gaps.map(|pair| pair[1] - pair[0]).max()
}

/// Prints a readable table.
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
