//! Many seeds of the fault trial: concurrent callers against a whole deployment under generated
//! faults, each run checked by the history checker.

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
    let mut wrong = 0;
    let seeds: Vec<u64> = (arguments.from..arguments.from + arguments.seeds).collect();
    for chunk in seeds.chunks(arguments.parallel.max(1)) {
        let runs = chunk.iter().map(|seed| runtime.spawn(run(*seed)));
        let runs: Vec<_> = runs.collect();
        for run in runs {
            let line = runtime.block_on(run)??;
            wrong += u64::from(!line.right);
            println!("{}", line.text);
        }
    }
    println!("{} seeds, {wrong} wrong", arguments.seeds);
    Ok(if wrong == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

struct ProofLine {
    right: bool,
    text: String,
}

async fn run(seed: u64) -> Result<ProofLine, String> {
    let schedule = TrialSchedule::generate(seed);
    let report = run_trial(&schedule).await.map_err(|error| error.to_string())?;
    let faults = check_history(&report.log);
    let acknowledged =
        report.log.writes.iter().filter(|write| write.outcome == WriteOutcome::Acknowledged);
    let kinds: Vec<String> = schedule
        .faults
        .iter()
        .map(|fault| format!("{:?}@{}", fault.kind, fault.from.as_millis()))
        .collect();
    let right = faults.is_empty() && report.recovered;
    let text = format!(
        "seed {seed}: {} writes, {} acknowledged, {} reads, {} unanswered, recovered {}, faults {}{}",
        report.log.writes.len(),
        acknowledged.count(),
        report.log.reads.len(),
        report.unanswered,
        report.recovered,
        kinds.join(" "),
        faults.iter().map(|fault| format!("\n  BROKEN {fault}")).collect::<String>(),
    );
    Ok(ProofLine { right, text })
}
