//! Runs one case of the review against the project's program.
//!
//! `standin-2 CASE FOLDER` writes `record.txt` into the folder and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod client;
mod fleet;
mod group;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let files = std::env::temp_dir().join(format!("rudder-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&files) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    // On one thread, the conditional writes of the store's stand-in are atomic.
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("no runtime: {error}");
            return ExitCode::from(2);
        }
    };
    let verdict = runtime.block_on(run(&case, Path::new(&folder), &files, trouble));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&files);
    }
    match verdict {
        Verdict::Broken(text) => {
            println!("broken: {text}");
            ExitCode::from(1)
        }
        Verdict::Held(text) => {
            println!("held: {text}");
            ExitCode::SUCCESS
        }
        Verdict::NotRun(text) => {
            println!("not run: {text}");
            ExitCode::from(2)
        }
    }
}

async fn run(case: &str, folder: &Path, files: &Path, trouble: bool) -> Verdict {
    let record: PathBuf = folder.join("record.txt");
    let limit = std::time::Duration::from_secs(110);
    let verdict = match case {
        "old-primary" => {
            tokio::time::timeout(limit, cases::old_primary(files, &record, trouble)).await
        }
        "returned-commits" => {
            tokio::time::timeout(limit, cases::returned_commits(files, &record, trouble)).await
        }
        "forgotten-replica" => {
            tokio::time::timeout(limit, cases::forgotten_replica(files, &record, trouble)).await
        }
        "reborn-replica" => {
            tokio::time::timeout(limit, cases::reborn_replica(files, &record, trouble)).await
        }
        "unlisted-replica" => {
            tokio::time::timeout(limit, cases::unlisted_replica(files, &record, trouble)).await
        }
        _ => return Verdict::NotRun(format!("there is no case {case}")),
    };
    verdict.unwrap_or_else(|_| Verdict::NotRun("the case took too long".to_owned()))
}
