//! What callers saw, held against the promises and against what the group kept.

use super::world::{ACCOUNT_LIMIT, account_of, is_limited};
use rudder_standins::{LineCommit, LineGroup, LineRun};
use std::fmt;
use std::time::{Duration, Instant};

/// The window in which an account's operations are counted, as the settings files say.
const LIMIT_WINDOW: Duration = Duration::from_secs(5);

/// Operations that a limited account may run in it: a tenth and twenty more than its limit.
const OPERATIONS_MAX: usize = {
    let limit = (ACCOUNT_LIMIT.0 * 5 + ACCOUNT_LIMIT.1) as usize;
    limit + limit / 10 + 20
};

/// What a caller may conclude about a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteFate {
    /// It is kept.
    Acknowledged,
    /// It is not kept.
    Refused,
    /// Nobody can tell.
    Unknown,
}

/// A write that was acknowledged.
#[derive(Clone, Debug)]
struct KeptWrite {
    id: String,
    value: u64,
    at: Instant,
}

/// A read that was served.
#[derive(Clone, Debug)]
pub(crate) struct ReadNote {
    pub(crate) id: String,
    pub(crate) reader: usize,
    pub(crate) database: &'static str,
    /// The caller whose item was read.
    pub(crate) item: usize,
    /// The writes that it must see, newest last, as far as no promotion cut them back.
    pub(crate) needs: Vec<(String, u64)>,
    /// The value that the session itself had written.
    pub(crate) own: u64,
    /// The row: data, a bar, and the session's values.
    pub(crate) row: String,
    pub(crate) outcome: String,
}

/// What all callers saw.
#[derive(Debug, Default)]
pub(crate) struct SoakLedger {
    /// By caller, in the order of the values, which only grow.
    kept: Vec<Vec<KeptWrite>>,
    fates: Vec<(String, WriteFate)>,
    pairs: Vec<(Vec<String>, WriteFate)>,
    reads: Vec<ReadNote>,
}

impl SoakLedger {
    pub(crate) fn new(callers: usize) -> Self {
        Self { kept: vec![Vec::new(); callers], ..Self::default() }
    }

    pub(crate) fn caller_count(&self) -> usize {
        self.kept.len()
    }

    pub(crate) fn note_write(&mut self, caller: usize, id: &str, value: u64, fate: WriteFate) {
        self.fates.push((id.to_owned(), fate));
        if fate == WriteFate::Acknowledged {
            let write = KeptWrite { id: id.to_owned(), value, at: Instant::now() };
            self.kept[caller].push(write);
        }
    }

    pub(crate) fn note_pair(&mut self, ids: &[String], fate: WriteFate) {
        self.fates.extend(ids.iter().map(|id| (id.clone(), fate)));
        self.pairs.push((ids.to_vec(), fate));
    }

    /// What a read that starts now must see of an item.
    pub(crate) fn needs_of(
        &self,
        caller: usize,
        now: Instant,
        bound: Duration,
    ) -> Vec<(String, u64)> {
        let due = self.kept[caller].iter().filter(|write| write.at + bound <= now);
        due.map(|write| (write.id.clone(), write.value)).collect()
    }

    fn fate_of(&self, id: &str) -> Option<WriteFate> {
        self.fates.iter().find(|(known, _)| known == id).map(|(_, fate)| *fate)
    }

    pub(crate) fn note_read(&mut self, note: ReadNote) {
        self.reads.push(note);
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
    pub(crate) cut_back: usize,
    pub(crate) broken: Vec<String>,
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
            self.cut_back,
            self.broken.len()
        )
    }
}

impl SoakReport {
    pub(crate) fn of(ledger: &SoakLedger, group: &LineGroup) -> Self {
        let mut cut_back = group.cut_back();
        cut_back.sort_unstable();
        let tokens = group.tokens();
        let count = |fate| ledger.fates.iter().filter(|(_, known)| *known == fate).count();
        let mut report = Self {
            served: count(WriteFate::Acknowledged),
            unknown: count(WriteFate::Unknown),
            refused: count(WriteFate::Refused),
            reads: ledger.reads.len(),
            promotions: tokens.len(),
            cut_back: cut_back.len(),
            broken: Vec::new(),
        };
        if !tokens.is_sorted() {
            report.broken.push(format!("fencing tokens went down: {tokens:?}"));
        }
        report.check_writes(ledger, &group.commits(), &cut_back);
        report.check_pairs(ledger, &group.commits());
        report.check_accounts(&group.runs());
        for note in &ledger.reads {
            report.check_read(note, &cut_back, ledger);
        }
        report
    }

    /// An accepted write is there once, a refused one is not there.
    fn check_writes(&mut self, ledger: &SoakLedger, commits: &[LineCommit], cut_back: &[String]) {
        let mut kept: Vec<&str> =
            commits.iter().flat_map(|commit| &commit.writes).map(|(id, ..)| id.as_str()).collect();
        kept.sort_unstable();
        let twice = kept.windows(2).filter(|pair| pair[0] == pair[1]);
        self.broken.extend(twice.map(|pair| format!("{} took effect twice", pair[0])));
        for (id, fate) in &ledger.fates {
            let there = kept.binary_search(&id.as_str()).is_ok();
            let cut = cut_back.binary_search(id).is_ok();
            match fate {
                WriteFate::Acknowledged if !there && !cut => {
                    self.broken.push(format!("{id} was acknowledged and is gone"));
                }
                WriteFate::Refused if there => {
                    self.broken.push(format!("{id} was refused and is there"));
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
                self.broken.push(format!("{} ran in the name of {}", run.id, run.user));
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
            if most > OPERATIONS_MAX {
                let caller = of_caller[0].0;
                self.broken.push(format!("{most} operations of caller{caller} ran in a window"));
            }
        }
    }

    /// A transaction is kept as one commit.
    fn check_pairs(&mut self, ledger: &SoakLedger, commits: &[LineCommit]) {
        let commit_of = |id: &String| {
            commits.iter().position(|commit| commit.writes.iter().any(|(known, ..)| known == id))
        };
        for (ids, _) in ledger.pairs.iter().filter(|(ids, _)| ids.len() == 2) {
            if commit_of(&ids[0]) != commit_of(&ids[1]) {
                self.broken.push(format!("{ids:?} were not kept together"));
            }
        }
    }

    fn check_read(&mut self, note: &ReadNote, cut_back: &[String], ledger: &SoakLedger) {
        let (data, values) = note.row.split_once('|').unwrap_or(("", ""));
        let seen: u64 = data.parse().unwrap_or(0);
        // A write of unknown fate may arrive late, after one of the same caller that was
        // acknowledged meanwhile, and then its value is the last one.
        let late = ledger.fate_of(&format!("c{}n{seen}", note.item)) == Some(WriteFate::Unknown);
        let alive = |(id, _): &&(String, u64)| cut_back.binary_search(id).is_err();
        let need = note.needs.iter().rfind(alive).map_or(0, |(_, value)| *value);
        if seen < need && !late {
            self.broken.push(format!(
                "{} at {} saw {seen} of item {} and must see {need}",
                note.id, note.database, note.item
            ));
        }
        let own_id = format!("c{}n{}", note.item, note.own);
        if seen < note.own && !late && cut_back.binary_search(&own_id).is_err() {
            self.broken.push(format!("{} saw {seen} and not its own {}", note.id, note.own));
        }
        if values != format!("who=caller{}", note.reader) {
            self.broken.push(format!("{} ran with the values {values:?}", note.id));
        }
        if !note.outcome.ends_with(&format!(".{}", note.id)) {
            self.broken.push(format!("{} got the answer {:?}", note.id, note.outcome));
        }
    }
}
