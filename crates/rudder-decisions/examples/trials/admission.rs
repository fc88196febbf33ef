//! Admission under a burst, a busy caller, long work among short, and saturation.

use super::current::PolicySettings;
use super::model::{Outcome, Request};
use super::report::{TrialRow, print_rows};
use super::scenes::{
    BUSY_CALLER, REPORT, busy_caller, group, long_among_short, rehearsal, saturation,
};
use super::setup::{PolicyChoice, play};
use super::summary::LoadSummary;
use rudder_decisions::WorkClass;
use std::time::Duration;

/// Whether a request belongs to a line of the table.
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
    let is_last: Selection = |request| !request.shed;
    let is_first: Selection = |request| request.shed;
    let reads_and_writes = [("reads", is_read), ("writes", is_write)];
    let callers = [("busy caller", is_busy), ("the others", is_other)];
    let sizes = [("short", is_short), ("reports", is_report)];
    let order = [("shed last", is_last), ("shed first", is_first)];
    let scenes = [
        ("ordinary writes", rehearsal(1.0, seed), reads_and_writes),
        ("burst of writes", rehearsal(4.5, seed), reads_and_writes),
        ("busy caller", busy_caller(seed), callers),
        ("long among short", long_among_short(seed), sizes),
        ("saturation", saturation(1.0, seed), order),
        ("twice saturation", saturation(2.0, seed), order),
    ];
    let rows: Vec<TrialRow> = scenes
        .iter()
        .flat_map(|(name, requests, selections)| run_scene(name, requests, selections, seed))
        .collect();
    print_rows("admission", &rows);
}

fn run_scene(
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
        let outcomes = play(&group(), requests, choice, seed);
        for (who, selection) in selections {
            let belongs = |request: &Request, _: &Outcome| selection(request);
            let summary = LoadSummary::of(requests, &outcomes, belongs);
            rows.push(row(&format!("{name}: {who}"), policy, &summary));
        }
    }
    rows
}

fn row(scene: &str, policy: &str, summary: &LoadSummary) -> TrialRow {
    TrialRow::new(scene, policy)
        .with("requests", summary.requests as f64)
        .with("served_share", summary.served_share())
        .with("refused", summary.refused as f64)
        .with("p50_ms", summary.p50_ms)
        .with("p99_ms", summary.p99_ms)
}
