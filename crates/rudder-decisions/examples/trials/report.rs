//! Output of results as JSON lines and as a table.

use serde_json::{Map, Value, json};

/// Results of one policy in one scenario.
pub(crate) struct TrialRow {
    scenario: String,
    policy: String,
    figures: Vec<(&'static str, f64)>,
}

impl TrialRow {
    /// Creates a row without figures.
    pub(crate) fn new(scenario: impl Into<String>, policy: impl Into<String>) -> Self {
        Self { scenario: scenario.into(), policy: policy.into(), figures: Vec::new() }
    }

    /// Adds a figure.
    pub(crate) fn with(mut self, name: &'static str, figure: f64) -> Self {
        self.figures.push((name, figure));
        self
    }
}

/// Prints the rows as JSON lines, then as a table.
pub(crate) fn print_rows(trial: &str, rows: &[TrialRow]) {
    for row in rows {
        let figures: Map<String, Value> = row
            .figures
            .iter()
            .map(|(name, figure)| ((*name).to_owned(), json!((figure * 1e3).round() / 1e3)))
            .collect();
        let line = json!({
            "trial": trial,
            "scene": row.scenario,
            "policy": row.policy,
            "figures": figures,
        });
        println!("{line}");
    }
    let Some(first) = rows.first() else {
        return;
    };
    let names: Vec<&str> = first.figures.iter().map(|(name, _)| *name).collect();
    println!("\n| {trial} | policy | {} |", names.join(" | "));
    println!("|---|---|{}", "---|".repeat(names.len()));
    for row in rows {
        let figures: Vec<String> =
            row.figures.iter().map(|(_, figure)| format!("{figure:.2}")).collect();
        println!("| {} | {} | {} |", row.scenario, row.policy, figures.join(" | "));
    }
    println!();
}
