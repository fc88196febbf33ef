//! Runs the fault trial with many seeds. In each run, concurrent callers use a whole deployment
//! under generated faults, and the history checker verifies session consistency.

use argh::FromArgs;
use rudder_core::{WriteOutcome, check_history};
use rudder_standins::{TrialSchedule, run_trial};
use std::error::Error;
use std::process::ExitCode;

/// Run the fault trial with many seeds.
#[derive(FromArgs)]
struct ProofArguments {
    /// how many seeds
    #[argh(option, default = "20")]
    seeds: u64,
    /// the first seed
    #[argh(option, default = "1")]
    from: u64,
    /// runs at the same time
    #[argh(option, default = "4")]
    parallel: usize,
}

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let arguments: ProofArguments = argh::from_env();
    let runtime = tokio::runtime::Runtime::new()?;
    let mut failures = 0;
    let seeds: Vec<u64> = (arguments.from..arguments.from + arguments.seeds).collect();
    for chunk in seeds.chunks(arguments.parallel.max(1)) {
        let runs = chunk.iter().map(|seed| runtime.spawn(run_seed(*seed)));
        let runs: Vec<_> = runs.collect();
        for run in runs {
            let result = runtime.block_on(run)??;
            failures += u64::from(!result.passed);
            println!("{}", result.text);
        }
    }
    println!("{} seeds, {failures} wrong", arguments.seeds);
    Ok(if failures == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Result of one seed.
struct SeedResult {
    passed: bool,
    text: String,
}

async fn run_seed(seed: u64) -> Result<SeedResult, String> {
    let schedule = TrialSchedule::generate(seed);
    let report = run_trial(&schedule).await.map_err(|error| error.to_string())?;
    let violations = check_history(&report.log);
    let acknowledged =
        report.log.writes.iter().filter(|write| write.outcome == WriteOutcome::Acknowledged);
    let faults: Vec<String> = schedule
        .faults
        .iter()
        .map(|fault| format!("{:?}@{}", fault.kind, fault.from.as_millis()))
        .collect();
    let passed = violations.is_empty() && report.recovered;
    let text = format!(
        "seed {seed}: {} writes, {} acknowledged, {} reads, {} unanswered, recovered {}, faults {}{}",
        report.log.writes.len(),
        acknowledged.count(),
        report.log.reads.len(),
        report.unanswered,
        report.recovered,
        faults.join(" "),
        violations.iter().map(|violation| format!("\n  BROKEN {violation}")).collect::<String>(),
    );
    Ok(SeedResult { passed, text })
}
