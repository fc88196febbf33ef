//! Admission under a burst of writes, a busy caller, long statements among short ones, and
//! saturation.

use super::current::PolicySettings;
use super::model::{Outcome, Request};
use super::report::{TrialRow, print_rows};
use super::setup::{PolicyChoice, simulate};
use super::summary::LoadSummary;
use super::workloads::{
    BUSY_CALLER, REPORT, busy_caller, group, long_among_short, saturation, writes_among_reads,
};
use rudder_decisions::WorkClass;
use std::time::Duration;

/// Predicate that selects the requests of one row of the table.
type Selection = fn(&Request) -> bool;

/// Runs and prints the trial.
pub(crate) fn run(seed: u64) {
    let is_read: Selection = |request| request.class == WorkClass::Read;
    let is_write: Selection = |request| request.class == WorkClass::Write;
    let is_busy: Selection = |request| request.caller == BUSY_CALLER;
    let is_other: Selection = |request| request.caller != BUSY_CALLER;
    let is_short: Selection =
        |request| request.fingerprint != REPORT && request.at > Duration::from_secs(10);
    let is_report: Selection = |request| request.fingerprint == REPORT;
    let is_kept: Selection = |request| !request.shed;
    let is_shed: Selection = |request| request.shed;
    let reads_and_writes = [("reads", is_read), ("writes", is_write)];
    let callers = [("busy caller", is_busy), ("the others", is_other)];
    let sizes = [("short", is_short), ("reports", is_report)];
    let order = [("shed last", is_kept), ("shed first", is_shed)];
    let scenarios = [
        ("ordinary writes", writes_among_reads(1.0, seed), reads_and_writes),
        ("burst of writes", writes_among_reads(4.5, seed), reads_and_writes),
        ("busy caller", busy_caller(seed), callers),
        ("long among short", long_among_short(seed), sizes),
        ("saturation", saturation(1.0, seed), order),
        ("twice saturation", saturation(2.0, seed), order),
    ];
    let rows: Vec<TrialRow> = scenarios
        .iter()
        .flat_map(|(name, requests, selections)| run_scenario(name, requests, selections, seed))
        .collect();
    print_rows("admission", &rows);
}

fn run_scenario(
    name: &str,
    requests: &[Request],
    selections: &[(&str, Selection)],
    seed: u64,
) -> Vec<TrialRow> {
    let settings = PolicySettings {
        queue_wait: Duration::from_millis(500),
        queue_max: 40,
        ..PolicySettings::default()
    };
    let policies = [
        ("round robin, no limits", PolicyChoice::RoundRobin),
        ("one queue, no limits", PolicyChoice::SharedQueue),
        ("current", PolicyChoice::Current(settings)),
    ];
    let mut rows = Vec::new();
    for (policy, choice) in policies {
        let outcomes = simulate(&group(), requests, choice, seed);
        for (group_name, selection) in selections {
            let selects = |request: &Request, _: &Outcome| selection(request);
            let summary = LoadSummary::of(requests, &outcomes, selects);
            rows.push(row(&format!("{name}: {group_name}"), policy, &summary));
        }
    }
    rows
}

fn row(scenario: &str, policy: &str, summary: &LoadSummary) -> TrialRow {
    TrialRow::new(scenario, policy)
        .with("requests", summary.requests as f64)
        .with("served_share", summary.served_share())
        .with("refused", summary.refused as f64)
        .with("p50_ms", summary.p50_ms)
        .with("p99_ms", summary.p99_ms)
}
