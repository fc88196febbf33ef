//! Replays traces of load and faults against proxies on loopback, and prints what callers saw: the
//! share of reads that replicas served, the failover gap, latencies, rejected requests, and
//! violations of session consistency.

mod baseline;
mod caller;
mod fault;
mod load;
mod report;
mod trace;

use arbutusrudder::{LogLevel, set_up_logs};
use argh::FromArgs;
use baseline::PolicyChoice;
use report::{RunReport, print_table};
use rudder_standins::Deployment;
use std::error::Error;
use std::path::PathBuf;
use trace::LoadTrace;

/// Measure the proxies under the traces.
#[derive(FromArgs)]
struct MeasureArguments {
    /// seed of arrivals and service times
    #[argh(option, default = "1")]
    seed: u64,
    /// the shortest form: every trace at a part of its length, the current policy, and one baseline
    /// for the ordinary trace and the burst only
    #[argh(switch)]
    brief: bool,
    /// folder of traces
    #[argh(option, default = "PathBuf::from(\"traces\")")]
    traces: PathBuf,
    /// run only the traces whose names contain this
    #[argh(option)]
    only: Option<String>,
    /// write the proxies' log lines of at least this severity to standard error
    #[argh(option)]
    log: Option<LogLevel>,
    /// run the current policy only
    #[argh(switch)]
    current: bool,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: MeasureArguments = argh::from_env();
    if let Some(level) = arguments.log {
        set_up_logs(level)?;
    }
    let traces = trace::read_traces(&arguments.traces)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let mut reports = Vec::new();
    for trace in traces {
        if arguments.only.as_ref().is_some_and(|only| !trace.name.contains(only.as_str())) {
            continue;
        }
        if arguments.brief && trace.full_only {
            continue;
        }
        let trace = if arguments.brief { trace.shortened() } else { trace };
        for policy in policies(&arguments, &trace) {
            let report = runtime.block_on(run(&trace, policy, arguments.seed))?;
            println!("{}", serde_json::to_string(&report)?);
            reports.push(report);
        }
    }
    print_table(&reports);
    Ok(())
}

fn policies(arguments: &MeasureArguments, trace: &LoadTrace) -> Vec<PolicyChoice> {
    if arguments.current || (arguments.brief && !trace.baselines_in_brief) {
        return vec![PolicyChoice::Current];
    }
    if arguments.brief {
        return vec![PolicyChoice::Current, PolicyChoice::RoundRobin];
    }
    vec![PolicyChoice::Current, PolicyChoice::RoundRobin, PolicyChoice::PrimaryOnly]
}

async fn run(
    trace: &LoadTrace,
    policy: PolicyChoice,
    seed: u64,
) -> Result<RunReport, Box<dyn Error>> {
    let deployment = Deployment::start(trace.plan(policy, seed)).await?;
    let callers = load::connect_callers(&deployment, trace).await?;
    let before = report::RoleCounts::read(&deployment).await?;
    let started = std::time::Instant::now();
    let faults = fault::inject_faults(&deployment, trace);
    let samples = load::run(callers, trace, seed, started);
    let ((), samples) = tokio::join!(faults, samples);
    let samples = samples?;
    let after = report::RoleCounts::read(&deployment).await?;
    let final_state = load::read_final_state(&deployment, trace).await?;
    Ok(RunReport::new(trace, policy, &samples, after.since(&before), &final_state))
}
