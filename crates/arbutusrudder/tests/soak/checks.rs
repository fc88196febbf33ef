//! What callers saw, held against the promises and against what the group kept.

use super::environment::{ACCOUNT_LIMIT, account_of, is_limited};
use rudder_standins::{LineCommit, LineGroup, LineRun};
use std::fmt;
use std::time::{Duration, Instant};

/// The window in which an account's operations are counted, as the settings files say.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);

/// Operations that a limited account may run in it: a tenth and twenty more than its limit.
const WINDOW_OPERATIONS_MAX: usize = {
    let limit = (ACCOUNT_LIMIT.0 * 5 + ACCOUNT_LIMIT.1) as usize;
    limit + limit / 10 + 20
};

/// What a caller may conclude about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// It is kept.
    Acknowledged,
    /// It is not kept.
    Refused,
    /// Nobody can tell.
    Unknown,
}

/// A write that was acknowledged.
#[derive(Clone, Debug)]
struct AcknowledgedWrite {
    id: String,
    value: u64,
    at: Instant,
}

/// A read that was served.
#[derive(Clone, Debug)]
pub(crate) struct ReadRecord {
    pub(crate) id: String,
    pub(crate) reader: usize,
    pub(crate) database: &'static str,
    /// The caller whose item was read.
    pub(crate) item: usize,
    /// The writes that it must see, newest last, as far as no promotion cut them back.
    pub(crate) required: Vec<(String, u64)>,
    /// The value that the session itself had written.
    pub(crate) own: u64,
    /// The row: data, a bar, and the session's values.
    pub(crate) row: String,
    pub(crate) outcome: String,
}

/// What all callers saw.
#[derive(Debug, Default)]
pub(crate) struct SoakHistory {
    /// By caller, in the order of the values, which only grow.
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

    /// What a read that starts now must see of an item.
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

/// How a run ended.
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
            "{} writes served, {} refused, {} unknown, {} reads, {} promotions, {} writes cut back, \
             {} promises broken",
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
        let mut discarded = group.cut_back();
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
        report.check_writes(history, &group.commits(), &discarded);
        report.check_pairs(history, &group.commits());
        report.check_accounts(&group.runs());
        for record in &history.reads {
            report.check_read(record, &discarded, history);
        }
        report
    }

    /// An accepted write is there once, a refused one is not there.
    fn check_writes(
        &mut self,
        history: &SoakHistory,
        commits: &[LineCommit],
        discarded: &[String],
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
                    self.violations.push(format!("{id} was acknowledged and is gone"));
                }
                WriteOutcome::Refused if is_committed => {
                    self.violations.push(format!("{id} was refused and is there"));
                }
                _ => {}
            }
        }
    }

    /// A statement runs in the name of its caller's account, and a limited account runs no more
    /// operations than its limit allows.
    fn check_accounts(&mut self, runs: &[LineRun]) {
        let caller_of = |run: &LineRun| -> Option<usize> {
            run.id.strip_prefix('c')?.split_once('n')?.0.parse().ok()
        };
        let mut operations: Vec<(usize, &str, Instant)> = Vec::new();
        for run in runs {
            let Some(caller) = caller_of(run) else { continue };
            if run.user != account_of(&format!("caller{caller}")) {
                self.violations.push(format!("{} ran in the name of {}", run.id, run.user));
            }
            if run.begins && is_limited(caller) {
                operations.push((caller, &run.id, run.at));
            }
        }
        // A read that failed at one member is the same operation at the next one.
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

    /// A transaction is kept as one commit.
    fn check_pairs(&mut self, history: &SoakHistory, commits: &[LineCommit]) {
        let commit_of = |id: &String| {
            commits.iter().position(|commit| commit.writes.iter().any(|(known, ..)| known == id))
        };
        for (ids, _) in history.pairs.iter().filter(|(ids, _)| ids.len() == 2) {
            if commit_of(&ids[0]) != commit_of(&ids[1]) {
                self.violations.push(format!("{ids:?} were not kept together"));
            }
        }
    }

    fn check_read(&mut self, record: &ReadRecord, discarded: &[String], history: &SoakHistory) {
        let (data, values) = record.row.split_once('|').unwrap_or(("", ""));
        let seen: u64 = data.parse().unwrap_or(0);
        // A write of unknown outcome may arrive late, after one of the same caller that was
        // acknowledged meanwhile, and then its value is the last one.
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
            self.violations.push(format!("{} ran with the values {values:?}", record.id));
        }
        if !record.outcome.ends_with(&format!(".{}", record.id)) {
            self.violations.push(format!("{} got the answer {:?}", record.id, record.outcome));
        }
    }
}
