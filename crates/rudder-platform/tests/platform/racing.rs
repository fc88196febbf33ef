//! Histories of operators who race while the platform loses requests and answers.

use crate::common::{FaultyStore, RandomFaults, change, domain_file, patient_store, standin};
use rudder_platform::{RevisionBundle, SubmitError, SubmitOutcome, poll_revision, submit_change};
use rudder_standins::PlatformStandin;

const SEEDS: u64 = 6;
const ROUNDS: usize = 3;
const STEMS: [&str; 4] = ["a", "b", "c", "d"];

/// What one operator saw: the region that each submission wanted, and its result.
struct OperatorHistory {
    stem: &'static str,
    results: Vec<(String, Result<SubmitOutcome, SubmitError>)>,
}

async fn operate(standin: &PlatformStandin, stem: &'static str, seed: u64) -> OperatorHistory {
    let inner = patient_store(standin);
    let store = FaultyStore { inner, script: RandomFaults::new(seed) };
    let mut results = Vec::new();
    for round in 0..ROUNDS {
        let region = format!("region-{round}");
        let result = submit_change(&store, change(&[domain_file(stem, &region)])).await;
        results.push((region, result));
    }
    OperatorHistory { stem, results }
}

/// The regions that the last revision may show for an operator: that of its last accepted
/// submission, or of any later one whose outcome it was not told.
fn possible_regions(history: &OperatorHistory) -> Vec<&str> {
    let results = &history.results;
    let accepted = results.iter().rposition(|(_, result)| result.is_ok()).unwrap_or(0);
    let unknown = |result: &Result<_, _>| matches!(result, Err(SubmitError::Unresolved));
    let later = results[accepted + 1..].iter().filter(|(_, result)| unknown(result));
    results[accepted..=accepted].iter().chain(later).map(|(region, _)| region.as_str()).collect()
}

fn shown_region(bundle: &RevisionBundle, stem: &str) -> String {
    let fleet = bundle.merge().expect("accepted settings are valid").fleet;
    let domain = fleet.domains.iter().find(|domain| domain.name.as_str() == stem);
    domain.expect("the file was accepted").region.clone()
}

/// Four operators change a file each, three times, at the same moment, while two of ten changes are
/// lost on the way, two of ten take effect without an answer, and one of ten meets nobody. Whoever
/// was told a number must find his change in it and in all later ones; no number is told twice.
#[tokio::test]
async fn accepted_changes_stand_and_numbers_are_told_once() {
    for seed in 0..SEEDS {
        let standin = standin().await;
        let operators = STEMS.iter().zip(0..).map(|(stem, index)| {
            let seed = seed * 100 + index;
            operate(&standin, stem, seed)
        });

        let histories = futures::future::join_all(operators).await;

        let bundle = poll_revision(&patient_store(&standin), None).await.unwrap().unwrap();
        let mut told: Vec<u64> = Vec::new();
        for history in &histories {
            let shown = shown_region(&bundle, history.stem);
            let possible = possible_regions(history);
            assert!(possible.contains(&shown.as_str()), "seed {seed}: {shown}, {possible:?}");
            let accepted = history.results.iter().filter_map(|(_, result)| result.as_ref().ok());
            told.extend(accepted.filter(|outcome| outcome.changed).map(|outcome| outcome.number.0));
        }
        told.sort_unstable();
        let all_told = told.len() == STEMS.len() * ROUNDS;
        assert!(told.windows(2).all(|pair| pair[0] < pair[1]), "seed {seed}: {told:?}");
        assert!(!all_told || bundle.number.0 == told.len() as u64, "seed {seed}: {told:?}");
    }
}
