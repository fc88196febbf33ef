//! Checks of the recorded replies against the consistency guarantees and the group's commits.

use super::environment::{ACCOUNT_LIMIT, account_of, is_limited};
use rudder_standins::{LineCommit, LineGroup, LineStatement};
use std::fmt;
use std::time::{Duration, Instant};

/// Window in which an account's operations are counted, as in the settings files.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);

/// Maximum number of operations of a limited account in a window: its limit plus a tenth plus 20.
const WINDOW_OPERATIONS_MAX: usize = {
    let limit = (ACCOUNT_LIMIT.0 * 5 + ACCOUNT_LIMIT.1) as usize;
    limit + limit / 10 + 20
};

/// Outcome of a write as the caller observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write is committed.
    Acknowledged,
    /// The write is not committed.
    Refused,
    /// The write may or may not be committed.
    Unknown,
}

/// An acknowledged write.
#[derive(Clone, Debug)]
struct AcknowledgedWrite {
    id: String,
    value: u64,
    at: Instant,
}

/// A served read.
#[derive(Clone, Debug)]
pub(crate) struct ReadRecord {
    pub(crate) id: String,
    pub(crate) reader: usize,
    pub(crate) database: &'static str,
    /// Number of the caller whose item was read.
    pub(crate) item: usize,
    /// Writes that the read must see, newest last, except those that a promotion discarded.
    pub(crate) required: Vec<(String, u64)>,
    /// Last value that the session itself had written.
    pub(crate) own: u64,
    /// Returned row: the data, a `|` and the session's variables.
    pub(crate) row: String,
    pub(crate) outcome: String,
}

/// Recorded operations of all callers.
#[derive(Debug, Default)]
pub(crate) struct SoakHistory {
    /// Acknowledged writes by caller, in the order of their increasing values.
    acknowledged: Vec<Vec<AcknowledgedWrite>>,
    outcomes: Vec<(String, WriteOutcome)>,
    pairs: Vec<(Vec<String>, WriteOutcome)>,
    reads: Vec<ReadRecord>,
}

impl SoakHistory {
    pub(crate) fn new(callers: usize) -> Self {
        Self { acknowledged: vec![Vec::new(); callers], ..Self::default() }
    }

    pub(crate) fn caller_count(&self) -> usize {
        self.acknowledged.len()
    }

    pub(crate) fn record_write(
        &mut self,
        caller: usize,
        id: &str,
        value: u64,
        outcome: WriteOutcome,
    ) {
        self.outcomes.push((id.to_owned(), outcome));
        if outcome == WriteOutcome::Acknowledged {
            let write = AcknowledgedWrite { id: id.to_owned(), value, at: Instant::now() };
            self.acknowledged[caller].push(write);
        }
    }

    pub(crate) fn record_pair(&mut self, ids: &[String], outcome: WriteOutcome) {
        self.outcomes.extend(ids.iter().map(|id| (id.clone(), outcome)));
        self.pairs.push((ids.to_vec(), outcome));
    }

    /// Returns the writes of an item that a read starting now must see.
    pub(crate) fn required_writes(
        &self,
        caller: usize,
        now: Instant,
        staleness_limit: Duration,
    ) -> Vec<(String, u64)> {
        let due =
            self.acknowledged[caller].iter().filter(|write| write.at + staleness_limit <= now);
        due.map(|write| (write.id.clone(), write.value)).collect()
    }

    fn outcome_of(&self, id: &str) -> Option<WriteOutcome> {
        self.outcomes.iter().find(|(known, _)| known == id).map(|(_, outcome)| *outcome)
    }

    pub(crate) fn record_read(&mut self, record: ReadRecord) {
        self.reads.push(record);
    }
}

/// Counts and violations of a run.
#[derive(Debug, Default)]
pub(crate) struct SoakReport {
    pub(crate) served: usize,
    pub(crate) unknown: usize,
    pub(crate) refused: usize,
    pub(crate) reads: usize,
    pub(crate) promotions: usize,
    pub(crate) discarded: usize,
    pub(crate) violations: Vec<String>,
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} writes served, {} refused, {} unknown, {} reads, {} promotions, \
             {} writes discarded, {} guarantees violated",
            self.served,
            self.refused,
            self.unknown,
            self.reads,
            self.promotions,
            self.discarded,
            self.violations.len()
        )
    }
}

impl SoakReport {
    pub(crate) fn of(history: &SoakHistory, group: &LineGroup) -> Self {
        let mut discarded = group.rolled_back_writes();
        discarded.sort_unstable();
        let tokens = group.tokens();
        let count =
            |outcome| history.outcomes.iter().filter(|(_, known)| *known == outcome).count();
        let mut report = Self {
            served: count(WriteOutcome::Acknowledged),
            unknown: count(WriteOutcome::Unknown),
            refused: count(WriteOutcome::Refused),
            reads: history.reads.len(),
            promotions: tokens.len(),
            discarded: discarded.len(),
            violations: Vec::new(),
        };
        if !tokens.is_sorted() {
            report.violations.push(format!("fencing tokens went down: {tokens:?}"));
        }
        report.check_writes(history, &group.commits(), &discarded, group.sync_replicas());
        report.check_pairs(history, &group.commits());
        report.check_accounts(&group.statements());
        for record in &history.reads {
            report.check_read(record, &discarded, history);
        }
        report
    }

    /// Checks that acknowledged writes are committed once and refused ones are not committed, and
    /// that none is rolled back that a synchronous replica has received.
    fn check_writes(
        &mut self,
        history: &SoakHistory,
        commits: &[LineCommit],
        discarded: &[String],
        sync_replicas: usize,
    ) {
        let mut committed: Vec<&str> =
            commits.iter().flat_map(|commit| &commit.writes).map(|(id, ..)| id.as_str()).collect();
        committed.sort_unstable();
        let twice = committed.windows(2).filter(|pair| pair[0] == pair[1]);
        self.violations.extend(twice.map(|pair| format!("{} took effect twice", pair[0])));
        for (id, outcome) in &history.outcomes {
            let is_committed = committed.binary_search(&id.as_str()).is_ok();
            let is_discarded = discarded.binary_search(id).is_ok();
            match outcome {
                WriteOutcome::Acknowledged if !is_committed && !is_discarded => {
                    self.violations.push(format!("{id} was acknowledged and is not committed"));
                }
                WriteOutcome::Acknowledged if is_discarded && sync_replicas > 0 => {
                    self.violations.push(format!("{id} was acknowledged and rolled back"));
                }
                WriteOutcome::Refused if is_committed => {
                    self.violations.push(format!("{id} was refused and is committed"));
                }
                _ => {}
            }
        }
    }

    /// Checks that each statement runs under its caller's account and that limited accounts stay
    /// within their limit.
    fn check_accounts(&mut self, statements: &[LineStatement]) {
        let caller_of = |statement: &LineStatement| -> Option<usize> {
            statement.id.strip_prefix('c')?.split_once('n')?.0.parse().ok()
        };
        let mut operations: Vec<(usize, &str, Instant)> = Vec::new();
        for statement in statements {
            let Some(caller) = caller_of(statement) else { continue };
            if statement.user != account_of(&format!("caller{caller}")) {
                self.violations
                    .push(format!("{} ran under account {}", statement.id, statement.user));
            }
            if statement.begins && is_limited(caller) {
                operations.push((caller, &statement.id, statement.at));
            }
        }
        // A read that is retried at another member counts as one operation.
        operations.sort_unstable();
        operations.dedup_by_key(|operation| (operation.0, operation.1));
        operations.sort_unstable_by_key(|operation| (operation.0, operation.2));
        for of_caller in operations.chunk_by(|left, right| left.0 == right.0) {
            let within = |from: Instant| {
                of_caller.iter().filter(|(.., at)| (from..from + LIMIT_WINDOW).contains(at)).count()
            };
            let most = of_caller.iter().map(|(.., at)| within(*at)).max().unwrap_or(0);
            if most > WINDOW_OPERATIONS_MAX {
                let caller = of_caller[0].0;
                self.violations
                    .push(format!("{most} operations of caller{caller} ran in a window"));
            }
        }
    }

    /// Checks that both writes of a transaction are in the same commit.
    fn check_pairs(&mut self, history: &SoakHistory, commits: &[LineCommit]) {
        let commit_of = |id: &String| {
            commits.iter().position(|commit| commit.writes.iter().any(|(known, ..)| known == id))
        };
        for (ids, _) in history.pairs.iter().filter(|(ids, _)| ids.len() == 2) {
            if commit_of(&ids[0]) != commit_of(&ids[1]) {
                self.violations.push(format!("{ids:?} were not committed together"));
            }
        }
    }

    fn check_read(&mut self, record: &ReadRecord, discarded: &[String], history: &SoakHistory) {
        let (data, values) = record.row.split_once('|').unwrap_or(("", ""));
        let seen: u64 = data.parse().unwrap_or(0);
        // A write with an unknown outcome may commit late, after a newer acknowledged write of the
        // same caller, so that its older value is the current one.
        let late =
            history.outcome_of(&format!("c{}n{seen}", record.item)) == Some(WriteOutcome::Unknown);
        let survives = |(id, _): &&(String, u64)| discarded.binary_search(id).is_err();
        let minimum = record.required.iter().rfind(survives).map_or(0, |(_, value)| *value);
        if seen < minimum && !late {
            self.violations.push(format!(
                "{} at {} saw {seen} of item {} and must see {minimum}",
                record.id, record.database, record.item
            ));
        }
        let own_id = format!("c{}n{}", record.item, record.own);
        if seen < record.own && !late && discarded.binary_search(&own_id).is_err() {
            self.violations
                .push(format!("{} saw {seen} and not its own {}", record.id, record.own));
        }
        if values != format!("who=caller{}", record.reader) {
            self.violations.push(format!("{} ran with the variables {values:?}", record.id));
        }
        if !record.outcome.ends_with(&format!(".{}", record.id)) {
            self.violations.push(format!("{} got the reply {:?}", record.id, record.outcome));
        }
    }
}
