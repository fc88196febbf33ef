//! Randomised test of concurrent submissions while the platform loses requests and responses.

use crate::common::{
    FaultyStore, RandomFaults, change, domain_file, standin, store_with_long_timeout,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rudder_standins::PlatformStandin;
use rudder_store::{RevisionNumber, SettingsRevision, SubmitError, SubmitOutcome, submit_change};
use std::sync::{Arc, Mutex};

const SEEDS: u64 = 6;
const ROUNDS: u64 = 4;

/// Name of the file that each operator changes: two operators share each file.
const OPERATORS: [&str; 4] = ["a", "a", "b", "b"];

type RevisionLog = Arc<Mutex<Vec<SettingsRevision>>>;

/// One submission with unique content, and its result.
struct SubmissionRecord {
    wanted: SettingsRevision,
    result: Result<SubmitOutcome, SubmitError>,
}

impl SubmissionRecord {
    fn is_in(&self, revision: &SettingsRevision) -> bool {
        let file = &self.wanted.files[0];
        revision.object(&file.name) == Some(file.object.as_str())
    }

    /// Checks the result of the submission against the revisions that took effect.
    fn check(&self, revisions: &[SettingsRevision]) -> Result<(), String> {
        let first = revisions.iter().find(|revision| self.is_in(revision));
        let made = first.map(|revision| revision.number);
        match &self.result {
            Ok(outcome) if outcome.changed && made == Some(outcome.number) => Ok(()),
            Err(SubmitError::Unresolved) => Ok(()),
            Err(_) if made.is_none() => Ok(()),
            reported => Err(format!("reported {reported:?}, in force since {made:?}")),
        }
    }
}

async fn submit_rounds(
    standin: &PlatformStandin,
    index: u64,
    seed: u64,
    log: RevisionLog,
) -> Vec<SubmissionRecord> {
    let stem = OPERATORS[usize::try_from(index).expect("there are four")];
    let random = Mutex::new(SmallRng::seed_from_u64(seed * 100 + index));
    let script = RandomFaults { random, revisions: log };
    let store = FaultyStore { inner: store_with_long_timeout(standin), script };
    let mut records = Vec::new();
    for round in 0..ROUNDS {
        let file = domain_file(stem, &format!("region-{index}-{round}"));
        let wanted = SettingsRevision::of_files(RevisionNumber(0), std::slice::from_ref(&file));
        let result = submit_change(&store, change(&[file])).await;
        records.push(SubmissionRecord { wanted, result });
    }
    records
}

/// Four operators change two files concurrently. Of ten writes, two are lost, two take effect
/// without a response, and the connection of one is refused. An accepted submission must have
/// created the reported revision, and the content of a rejected one must be in no revision.
#[tokio::test]
async fn results_of_concurrent_submissions_match_the_stored_revisions() {
    for seed in 0..SEEDS {
        let standin = standin().await;
        let log = RevisionLog::default();
        let submissions = (0..OPERATORS.len() as u64)
            .map(|index| submit_rounds(&standin, index, seed, log.clone()));

        let histories = futures::future::join_all(submissions).await;
        let records: Vec<SubmissionRecord> = histories.into_iter().flatten().collect();

        let mut revisions = log.lock().unwrap().clone();
        revisions.sort_by_key(|revision| revision.number);
        let numbers: Vec<u64> = revisions.iter().map(|revision| revision.number.0).collect();
        assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>(), "seed {seed}");
        for record in &records {
            assert_eq!(record.check(&revisions), Ok(()), "seed {seed}");
        }
        assert!(records.iter().any(|record| record.result.is_ok()), "seed {seed}");
    }
}

#[test]
fn checker_rejects_wrong_histories() {
    let wanted = |number| {
        let file = domain_file("a", "north");
        SettingsRevision::of_files(RevisionNumber(number), &[file])
    };
    let record = |result| SubmissionRecord { wanted: wanted(0), result };
    let accepted = |number, changed| Ok(SubmitOutcome { number: RevisionNumber(number), changed });

    let vanished = record(accepted(1, true)).check(&[]);
    let other_number = record(accepted(1, true)).check(&[wanted(2)]);
    let not_own = record(accepted(2, false)).check(&[wanted(2)]);
    let refused_and_in_force = record(Err(SubmitError::Busy)).check(&[wanted(2)]);
    let right = record(accepted(2, true)).check(&[wanted(2), wanted(3)]);

    let wrong = [vanished, other_number, not_own, refused_and_in_force];
    assert!(wrong.iter().all(Result::is_err), "{wrong:?}");
    assert_eq!(right, Ok(()));
}
