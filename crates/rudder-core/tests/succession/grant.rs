//! Tests that no two runs ever use the same term.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rudder_core::{InstanceName, KeeperRun, LogTerm, SuccessionGrant, TermReserve, WriterMark};

const KEEPERS: usize = 3;

#[derive(Clone, Debug)]
enum GrantStep {
    /// Reads the object; the keeper bases its changes on this version until its next read.
    Read(usize),
    GrantNextTerm(usize),
    ReserveTerms(usize),
    RecordPrimary(usize),
    UseNext(usize),
    Restart(usize),
}

struct Keeper {
    run: KeeperRun,
    reserve: TermReserve,
    read_version: usize,
}

struct GrantSimulation {
    versions: Vec<SuccessionGrant>,
    keepers: Vec<Keeper>,
    accepted: LogTerm,
    used_terms: Vec<LogTerm>,
}

fn instance(index: usize) -> InstanceName {
    format!("inst-{index}").parse().expect("a valid name")
}

fn keeper(index: usize) -> Keeper {
    let incarnation = WriterMark::random();
    let run = KeeperRun { instance: instance(index), incarnation: incarnation.clone() };
    Keeper { run, reserve: TermReserve::new(incarnation), read_version: 0 }
}

impl GrantSimulation {
    fn new() -> Self {
        let first = SuccessionGrant::first(instance(0), LogTerm(1), WriterMark::random());
        let keepers = (0..KEEPERS).map(keeper).collect();
        Self { versions: vec![first], keepers, accepted: LogTerm(1), used_terms: Vec::new() }
    }

    /// Applies a conditional update, which takes effect only on the latest version.
    fn put(&mut self, index: usize, grant: Option<SuccessionGrant>) -> bool {
        let is_latest = self.keepers[index].read_version + 1 == self.versions.len();
        if is_latest {
            self.versions.extend(grant);
        }
        is_latest
    }

    fn step(&mut self, step: &GrantStep) {
        let names: Vec<_> = (0..KEEPERS).map(instance).collect();
        let read_grant = |simulation: &Self, index: usize| {
            simulation.versions[simulation.keepers[index].read_version].clone()
        };
        match *step {
            GrantStep::Read(index) => {
                let keeper = &mut self.keepers[index];
                keeper.read_version = self.versions.len() - 1;
                keeper.reserve.update(&self.versions[keeper.read_version]);
            }
            GrantStep::GrantNextTerm(index) => {
                let grant = read_grant(self, index);
                let granted =
                    grant.grant_next_term(instance(index), self.accepted, WriterMark::random());
                let term = granted.term();
                if self.put(index, Some(granted)) {
                    self.used_terms.push(term);
                }
            }
            GrantStep::ReserveTerms(index) => {
                let keeper = &self.keepers[index];
                let grant =
                    read_grant(self, index).reserve_terms(&keeper.run, &names, self.accepted);
                self.put(index, grant);
            }
            GrantStep::RecordPrimary(index) => {
                let Some(term) = self.used_terms.iter().copied().max() else { return };
                let primary = "m1".parse().expect("a valid name");
                let grant = read_grant(self, index).record_primary(&primary, term);
                self.accepted = self.accepted.max(term);
                self.put(index, grant);
            }
            GrantStep::UseNext(index) => {
                let term = self.keepers[index].reserve.use_next(self.accepted);
                self.used_terms.extend(term);
            }
            GrantStep::Restart(index) => self.keepers[index] = keeper(index),
        }
    }
}

fn grant_step() -> impl Strategy<Value = GrantStep> {
    let keeper = || 0..KEEPERS;
    prop_oneof![
        6 => keeper().prop_map(GrantStep::Read),
        2 => keeper().prop_map(GrantStep::GrantNextTerm),
        4 => keeper().prop_map(GrantStep::ReserveTerms),
        2 => keeper().prop_map(GrantStep::RecordPrimary),
        3 => keeper().prop_map(GrantStep::UseNext),
        1 => keeper().prop_map(GrantStep::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        cases: 3000,
        ..ProptestConfig::default()
    })]

    // Two members become primary of the same term, and each counts the reports for the other.
    // Keepers read at different times, update conditionally, use reserved terms from old copies
    // during an outage of the platform, and restart under the same name.
    #[test]
    fn no_term_is_used_twice(steps in proptest::collection::vec(grant_step(), 5..80)) {
        let mut simulation = GrantSimulation::new();

        steps.iter().for_each(|step| simulation.step(step));

        let mut used_terms = simulation.used_terms.clone();
        used_terms.sort_unstable();
        used_terms.dedup();
        prop_assert_eq!(used_terms.len(), simulation.used_terms.len());
    }
}

// An instance restarts under its name while nothing else changes the grant. Without a reservation
// for its new run, it could not promote a member during an outage of the platform.
#[test]
fn restarted_keeper_gets_a_reservation_of_its_own() {
    let names = [instance(0)];
    let grant = SuccessionGrant::first(instance(0), LogTerm(1), WriterMark::random());
    let grant = grant.reserve_terms(&keeper(0).run, &names, LogTerm(1)).expect("a change");
    let restarted = keeper(0);

    let grant = grant.reserve_terms(&restarted.run, &names, LogTerm(1)).expect("a change");

    let reserved = grant.reserved_for(&restarted.run.incarnation).map(|entry| entry.first);
    assert_eq!(reserved, Some(LogTerm(10)));
    assert!(grant.reserve_terms(&restarted.run, &names, LogTerm(13)).is_none());
    assert!(grant.reserve_terms(&restarted.run, &names, LogTerm(14)).is_some());
    assert_eq!(grant.reserved().len(), 1);
}

fn grant_of_two() -> SuccessionGrant {
    let names = [instance(0), instance(1)];
    let grant = SuccessionGrant::first(instance(0), LogTerm(1), WriterMark::random());
    let grant = grant.reserve_terms(&keeper(0).run, &names, LogTerm(1)).expect("a change");
    grant.reserve_terms(&keeper(1).run, &names, LogTerm(1)).expect("a change")
}

// One keeper used most of its terms during an outage, and recording its primary reserves new terms
// for all. The other keeper still has its old terms in memory, so the new ones must be above these.
#[test]
fn recorded_primary_never_reuses_terms() {
    let grant = grant_of_two();
    let highest_term = grant.highest_term();

    let recorded =
        grant.record_primary(&"m1".parse().expect("a valid name"), LogTerm(highest_term.0 - 2));

    let firsts = recorded.expect("a change").reserved().iter().map(|entry| entry.first).min();
    assert!(firsts > Some(highest_term), "{firsts:?}, {highest_term}");
}

#[test]
fn invalid_stored_grant_is_rejected() {
    let grant = grant_of_two();
    let bytes = postcard::to_stdvec(&grant).expect("encodes");
    let decode_changed = |old: u8, new: u8| {
        let mut changed = bytes.clone();
        let index = bytes.iter().rposition(|byte| *byte == old).expect("the number is there");
        changed[index] = new;
        postcard::from_bytes::<SuccessionGrant>(&changed)
    };
    let (second_first, first_first, count, too_many) = (11, 10, 8, 65);

    let unchanged = decode_changed(count, count);
    let reserved_twice = decode_changed(second_first, first_first);
    let oversized = decode_changed(count, too_many);

    assert_eq!(unchanged, Ok(grant));
    assert!(reserved_twice.is_err());
    assert!(oversized.is_err());
}
