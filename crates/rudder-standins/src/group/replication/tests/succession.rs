//! Random schedules of commits, faults and concurrent promotions must keep acknowledged entries.

use super::{append, lock, members, run_step};
use crate::group::member::GroupMember;
use crate::group::replication::EntryFlight;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_core::{
    AckDecision, ControlStatement, LogPosition, LogStamp, LogTerm, MemberName, MemberStatus,
    decide_commit, majority_of,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const SEEDS: u64 = 200;
const OPERATIONS: usize = 600;

/// Commit that waits for acknowledgement, and the member statuses polled after it.
struct PendingCommit {
    stamp: LogStamp,
    statuses: Vec<(MemberName, MemberStatus)>,
}

/// Promotion in progress, carried out one step at a time.
struct PromotionAttempt {
    term: LogTerm,
    fenced: Vec<(usize, MemberStatus)>,
    leader: Option<usize>,
}

struct Schedule {
    generator: StdRng,
    members: Vec<Arc<GroupMember>>,
    flights: Vec<EntryFlight>,
    now: Instant,
    commits: Vec<PendingCommit>,
    acknowledged: Vec<LogStamp>,
    attempts: Vec<PromotionAttempt>,
    promotions: usize,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let members = members();
        for member in &members {
            let mut knobs = lock(&member.replication);
            knobs.link_delay = Duration::from_millis(5);
            knobs.apply_lag = Duration::ZERO;
        }
        Self {
            generator: StdRng::seed_from_u64(seed),
            flights: members.iter().map(|_| EntryFlight::default()).collect(),
            members,
            now: Instant::now(),
            commits: Vec::new(),
            acknowledged: Vec::new(),
            attempts: Vec::new(),
            promotions: 0,
        }
    }

    fn any_member(&mut self) -> usize {
        self.generator.random_range(0..self.members.len())
    }

    fn run_operation(&mut self) {
        match self.generator.random_range(0..100) {
            0..20 => self.commit(),
            20..55 => self.replicate(),
            55..80 => self.poll_status(),
            80..84 => self.toggle_cut(),
            84..86 => self.begin_promotion(),
            _ => self.advance_promotion(),
        }
    }

    fn commit(&mut self) {
        let index = self.any_member();
        let member = Arc::clone(&self.members[index]);
        if lock(&member.state).check_writable("INSERT").is_ok() {
            append(&member);
            let stamp = member.status().received;
            self.commits.push(PendingCommit { stamp, statuses: Vec::new() });
        }
    }

    fn replicate(&mut self) {
        let index = self.any_member();
        self.now += Duration::from_millis(self.generator.random_range(0..8));
        run_step(&self.members, index, &mut self.flights[index], self.now);
    }

    /// Polls one member's status for all commits that wait for an acknowledgement.
    fn poll_status(&mut self) {
        let index = self.any_member();
        let member = Arc::clone(&self.members[index]);
        let status = member.status();
        for commit in &mut self.commits {
            commit.statuses.retain(|(name, _)| *name != member.name);
            commit.statuses.push((member.name.clone(), status));
        }
        let count = self.members.len();
        let decision =
            |commit: &PendingCommit| decide_commit(commit.stamp, count, &commit.statuses);
        let done =
            self.commits.iter().filter(|commit| decision(commit) == AckDecision::Acknowledged);
        self.acknowledged.extend(done.map(|commit| commit.stamp));
        self.commits.retain(|commit| decision(commit) == AckDecision::Waiting);
    }

    fn toggle_cut(&mut self) {
        let index = self.any_member();
        let mut knobs = lock(&self.members[index].replication);
        knobs.cut = !knobs.cut;
    }

    fn begin_promotion(&mut self) {
        let highest = self.members.iter().map(|member| member.status().accepted).max().unwrap();
        let planned = self.attempts.iter().map(|attempt| attempt.term).max();
        let term = LogTerm(highest.max(planned.unwrap_or_default()).0 + 1);
        self.attempts.push(PromotionAttempt { term, fenced: Vec::new(), leader: None });
    }

    /// Runs the next step of a promotion; a rejected control statement aborts it.
    fn advance_promotion(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let chosen = self.generator.random_range(0..self.attempts.len());
        let mut attempt = self.attempts.swap_remove(chosen);
        let index = self.any_member();
        let continues = match attempt.leader {
            Some(leader) => self.redirect(&attempt, index, leader),
            None if attempt.fenced.len() < majority_of(self.members.len()) => {
                self.fence(&mut attempt, index)
            }
            None => self.promote(&mut attempt),
        };
        if continues {
            self.attempts.push(attempt);
        }
    }

    fn fence(&self, attempt: &mut PromotionAttempt, index: usize) -> bool {
        match self.members[index].control(&ControlStatement::Fence(attempt.term)) {
            Ok(status) => {
                attempt.fenced.retain(|(fenced, _)| *fenced != index);
                attempt.fenced.push((index, status));
                true
            }
            Err(_) => false,
        }
    }

    fn promote(&mut self, attempt: &mut PromotionAttempt) -> bool {
        let best = attempt.fenced.iter().max_by_key(|(_, status)| status.received);
        let (leader, _) = *best.unwrap();
        if self.members[leader].control(&ControlStatement::Promote(attempt.term)).is_err() {
            return false;
        }
        attempt.leader = Some(leader);
        self.promotions += 1;
        self.check_no_loss(leader);
        true
    }

    fn redirect(&self, attempt: &PromotionAttempt, index: usize, leader: usize) -> bool {
        if index == leader {
            return true;
        }
        let name = self.members[leader].name.clone();
        let follow = ControlStatement::Follow(attempt.term, name);
        self.members[index].control(&follow).is_ok()
    }

    /// Checks that the log of a new primary contains every acknowledged entry.
    fn check_no_loss(&self, leader: usize) {
        let state = lock(&self.members[leader].state);
        for stamp in &self.acknowledged {
            let LogPosition(position) = stamp.position;
            let found = state.log.stamp_at(usize::try_from(position).unwrap());
            assert_eq!(found, *stamp, "an acknowledged entry was lost");
        }
    }
}

/// After a write was acknowledged, links are interrupted and other members are promoted; some
/// promotions run concurrently and some abort. Each new primary must have the write in its log.
#[test]
fn acknowledged_entries_survive_every_promotion() {
    let mut acknowledged = 0;
    let mut promotions = 0;
    for seed in 0..SEEDS {
        let mut schedule = Schedule::new(seed);
        for _ in 0..OPERATIONS {
            schedule.run_operation();
        }
        acknowledged += schedule.acknowledged.len();
        promotions += schedule.promotions;
    }

    // Ensures that the schedules acknowledged entries and completed promotions.
    assert!(acknowledged > 1000 && promotions > 500, "{acknowledged} {promotions}");
}
