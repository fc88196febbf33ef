//! The steps of one succession at one term, as a state machine without sockets or clock.
//!
//! Fence a majority, choose the most advanced member, promote it, point the others to it, confirm.
//! Every statement is idempotent at the members, so each step can be repeated, also by another
//! instance at a greater term after this one crashed or froze.

use super::candidate::choose_candidate;
use super::plan_step::{PlanBounds, PlanMember, PlanReply, PlanRequest, PlanState};
use crate::ack::majority_of;
use crate::control::ControlStatement;
use crate::ident::MemberName;
use crate::plain_data;
use crate::stamp::{LogStamp, LogTerm};
use crate::status::{MemberRole, MemberStatus};
use std::time::Duration;

plain_data! {
    /// What the plan knows about one member.
    struct MemberProgress {
        member: PlanMember,
        in_flight: Option<SentStatement>,
        due_at: Duration,
        tried: bool,
        fenced: Option<MemberStatus>,
        follows: bool,
    }
}

plain_data! {
    struct SentStatement {
        statement: ControlStatement,
        sent_at: Duration,
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum PlanPhase {
    Fencing { majority_since: Option<Duration> },
    CatchingUp { target: MemberName, source: MemberName, goal: LogStamp, since: Duration },
    Promoting { candidate: MemberName, since: Duration },
    Following { candidate: MemberName, heard_at: Duration },
    Confirming { candidate: MemberName, since: Duration },
    Ended(PlanState),
}

plain_data! {
    /// One succession at one term.
    ///
    /// The term must belong to this plan alone: two plans that share a term could promote two
    /// members under it.
    pub struct SuccessionPlan {
        term: LogTerm,
        bounds: PlanBounds,
        target: Option<MemberName>,
        progress: Vec<MemberProgress>,
        phase: PlanPhase,
    }
}

impl SuccessionPlan {
    /// A plan over all members of a group, with nothing sent yet.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanBounds, PlanMember, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let bounds = PlanBounds { retry: bound, grace: bound, patience: 4 * bound };
    /// let member = PlanMember { name: "scores-1".parse()?, preference: 0 };
    /// let mut plan = SuccessionPlan::new(LogTerm(2), vec![member], bounds);
    /// let requests = plan.poll(Duration::ZERO);
    /// assert_eq!(requests[0].statement.to_string(), "SELECT rudder.fence(2)");
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn new(term: LogTerm, members: Vec<PlanMember>, bounds: PlanBounds) -> Self {
        let progress = members.into_iter().map(MemberProgress::new).collect();
        let phase = PlanPhase::Fencing { majority_since: None };
        Self { term, bounds, target: None, progress, phase }
    }

    /// Makes this a planned switch: `target` is promoted once its log reaches the most advanced.
    ///
    /// If the target cannot be fenced or does not catch up in time, the most advanced member is
    /// promoted instead, so that a failed switch leaves a primary behind.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanBounds, PlanState, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let bounds = PlanBounds { retry: bound, grace: bound, patience: 4 * bound };
    /// let plan = SuccessionPlan::new(LogTerm(2), vec![], bounds).switch_to("scores-2".parse()?);
    /// assert_eq!(plan.state(), PlanState::Running);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn switch_to(mut self, target: MemberName) -> Self {
        self.target = Some(target);
        self
    }

    /// The plan's term.
    #[must_use]
    pub const fn term(&self) -> LogTerm {
        self.term
    }

    /// Where the plan stands.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanBounds, PlanState, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let bounds = PlanBounds { retry: bound, grace: bound, patience: 4 * bound };
    /// let plan = SuccessionPlan::new(LogTerm(2), vec![], bounds);
    /// assert_eq!(plan.state(), PlanState::Running);
    /// ```
    #[must_use]
    pub fn state(&self) -> PlanState {
        match &self.phase {
            PlanPhase::Ended(state) => state.clone(),
            _ => PlanState::Running,
        }
    }

    /// The statements to send now. At most one is in flight at each member.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanBounds, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let bounds = PlanBounds { retry: bound, grace: bound, patience: 4 * bound };
    /// assert!(SuccessionPlan::new(LogTerm(2), vec![], bounds).poll(Duration::ZERO).is_empty());
    /// ```
    pub fn poll(&mut self, now: Duration) -> Vec<PlanRequest> {
        self.advance(now);
        let mut requests = Vec::new();
        for index in 0..self.progress.len() {
            if now < self.progress[index].due_at {
                continue;
            }
            let Some(statement) = self.next_statement(&self.progress[index]) else { continue };
            let progress = &mut self.progress[index];
            progress.in_flight = Some(SentStatement { statement: statement.clone(), sent_at: now });
            requests.push(PlanRequest { member: progress.member.name.clone(), statement });
        }
        requests
    }

    /// Takes in what came of a statement that [`Self::poll`] gave out. Late and repeated answers
    /// are harmless.
    ///
    /// ```
    /// use rudder_core::{
    ///     ControlStatement, LogTerm, PlanBounds, PlanMember, PlanReply, PlanState, SuccessionPlan,
    /// };
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let bounds = PlanBounds { retry: bound, grace: bound, patience: 4 * bound };
    /// let member = PlanMember { name: "scores-1".parse()?, preference: 0 };
    /// let mut plan = SuccessionPlan::new(LogTerm(2), vec![member.clone()], bounds);
    /// let requests = plan.poll(Duration::ZERO);
    /// let reply = PlanReply::Superseded(LogTerm(7));
    /// plan.observe(Duration::ZERO, &member.name, &requests[0].statement, reply);
    /// assert_eq!(plan.state(), PlanState::Superseded(LogTerm(7)));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn observe(
        &mut self,
        now: Duration,
        member: &MemberName,
        statement: &ControlStatement,
        reply: PlanReply,
    ) {
        if matches!(self.phase, PlanPhase::Ended(_)) {
            return;
        }
        // Guards against two successions at once, and against a promoter that was frozen and
        // woke up: a greater accepted term means that another one has gone on since.
        if let Some(term) = self.superseding_term(reply) {
            self.phase = PlanPhase::Ended(PlanState::Superseded(term));
            return;
        }
        let Some(index) = self.index_of(member) else { return };
        let Some(sent) = self.take_in_flight(index, statement) else { return };
        match reply {
            PlanReply::Status(status) => self.note_status(now, index, &sent, status),
            PlanReply::Refused | PlanReply::Lost => self.note_failure(now, index, &sent, reply),
            PlanReply::Superseded(_) => {}
        }
        self.advance(now);
    }

    /// When [`Self::poll`] has something to do next, if nothing is observed before.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanBounds, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let bounds = PlanBounds { retry: bound, grace: bound, patience: 4 * bound };
    /// assert_eq!(SuccessionPlan::new(LogTerm(2), vec![], bounds).wake_at(), None);
    /// ```
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        // Only members with a statement to come count, or the driver would spin on the others.
        let waiting = self.progress.iter().filter(|known| self.next_statement(known).is_some());
        let retry_at = waiting.map(|progress| progress.due_at).min();
        let phase_end = match &self.phase {
            PlanPhase::Fencing { majority_since } => {
                majority_since.map(|at| at + self.bounds.grace)
            }
            PlanPhase::CatchingUp { since, .. }
            | PlanPhase::Promoting { since, .. }
            | PlanPhase::Confirming { since, .. } => Some(*since + self.bounds.patience),
            PlanPhase::Following { heard_at, .. } => Some(*heard_at + self.bounds.patience),
            PlanPhase::Ended(_) => return None,
        };
        retry_at.into_iter().chain(phase_end).min()
    }

    fn index_of(&self, member: &MemberName) -> Option<usize> {
        self.progress.iter().position(|progress| progress.member.name == *member)
    }

    fn superseding_term(&self, reply: PlanReply) -> Option<LogTerm> {
        let term = match reply {
            PlanReply::Superseded(term) => term,
            PlanReply::Status(status) => status.accepted,
            PlanReply::Refused | PlanReply::Lost => return None,
        };
        (term > self.term).then_some(term)
    }

    fn take_in_flight(
        &mut self,
        index: usize,
        statement: &ControlStatement,
    ) -> Option<SentStatement> {
        let progress = &mut self.progress[index];
        progress.in_flight.take_if(|sent| sent.statement == *statement)
    }

    /// What an idle member shall be sent next, now or once it is due.
    fn next_statement(&self, progress: &MemberProgress) -> Option<ControlStatement> {
        if progress.in_flight.is_some() {
            return None;
        }
        let name = &progress.member.name;
        match &self.phase {
            PlanPhase::Fencing { .. } => {
                progress.fenced.is_none().then_some(ControlStatement::Fence(self.term))
            }
            PlanPhase::CatchingUp { target, .. } if target != name => None,
            PlanPhase::CatchingUp { .. } if progress.follows => Some(ControlStatement::Status),
            PlanPhase::CatchingUp { source, .. } => {
                Some(ControlStatement::Follow(self.term, source.clone()))
            }
            PlanPhase::Promoting { candidate, .. } => {
                (candidate == name).then_some(ControlStatement::Promote(self.term))
            }
            PlanPhase::Following { candidate, .. } | PlanPhase::Confirming { candidate, .. } => {
                self.due_after_promotion(progress, candidate)
            }
            PlanPhase::Ended(_) => None,
        }
    }

    fn due_after_promotion(
        &self,
        progress: &MemberProgress,
        candidate: &MemberName,
    ) -> Option<ControlStatement> {
        if progress.member.name == *candidate {
            return Some(ControlStatement::Status);
        }
        let follow = || ControlStatement::Follow(self.term, candidate.clone());
        (!progress.follows).then(follow)
    }

    fn note_status(
        &mut self,
        now: Duration,
        index: usize,
        sent: &SentStatement,
        status: MemberStatus,
    ) {
        let progress = &mut self.progress[index];
        progress.tried = true;
        progress.due_at = now + self.bounds.retry;
        match &sent.statement {
            // A member counts as fenced by its own word only: an answer at a lower term would
            // let it go on taking the old primary's writes after its log was compared.
            ControlStatement::Fence(_) if status.accepted == self.term => {
                progress.fenced = Some(status);
            }
            ControlStatement::Follow(..) if status.accepted == self.term => {
                progress.follows = true;
            }
            _ => {}
        }
        self.note_candidate(now, index, sent, status);
    }

    fn note_candidate(
        &mut self,
        now: Duration,
        index: usize,
        sent: &SentStatement,
        status: MemberStatus,
    ) {
        let name = self.progress[index].member.name.clone();
        let leads = status.role == MemberRole::Primary && status.accepted == self.term;
        let lost = || PlanPhase::Ended(PlanState::CandidateLost(name.clone()));
        let next = match &self.phase {
            PlanPhase::CatchingUp { target, goal, .. } if *target == name => {
                let caught_up = self.progress[index].follows && status.received >= *goal;
                let promoting = PlanPhase::Promoting { candidate: name.clone(), since: now };
                caught_up.then_some(promoting)
            }
            PlanPhase::Promoting { candidate, .. } if *candidate == name && leads => {
                Some(PlanPhase::Following { candidate: name.clone(), heard_at: now })
            }
            PlanPhase::Following { candidate, .. } if *candidate == name && leads => {
                Some(PlanPhase::Following { candidate: name.clone(), heard_at: now })
            }
            PlanPhase::Following { candidate, .. } if *candidate == name => Some(lost()),
            // Guards against opening for writes on old news: only a status that was asked for
            // after the majority followed shows that the new primary outlived the steps.
            PlanPhase::Confirming { candidate, since }
                if *candidate == name && leads && sent.sent_at >= *since =>
            {
                Some(PlanPhase::Ended(PlanState::Done(name.clone())))
            }
            PlanPhase::Confirming { candidate, .. } if *candidate == name && !leads => Some(lost()),
            PlanPhase::Confirming { candidate, .. } if *candidate == name => {
                self.progress[index].due_at = now;
                None
            }
            _ => None,
        };
        if let Some(phase) = next {
            self.enter(phase, now);
        }
    }

    fn note_failure(
        &mut self,
        now: Duration,
        index: usize,
        sent: &SentStatement,
        reply: PlanReply,
    ) {
        let retry = self.bounds.retry;
        let progress = &mut self.progress[index];
        progress.tried = true;
        progress.due_at = now + retry;
        let name = progress.member.name.clone();
        match &self.phase {
            // Guards against a lost `follow` that a frozen member runs late: it would turn the
            // promoted target into a replica again and cut its log. So a target whose `follow`
            // went unanswered is never promoted at this term.
            PlanPhase::CatchingUp { target, .. }
                if *target == name && matches!(sent.statement, ControlStatement::Follow(..)) =>
            {
                self.promote_most_advanced(now);
            }
            PlanPhase::Promoting { candidate, .. }
                if *candidate == name && reply == PlanReply::Refused =>
            {
                self.phase = PlanPhase::Ended(PlanState::CandidateLost(name));
            }
            _ => {}
        }
    }

    fn advance(&mut self, now: Duration) {
        match self.phase.clone() {
            PlanPhase::Fencing { majority_since } => self.advance_fencing(now, majority_since),
            PlanPhase::CatchingUp { since, .. } if self.is_over(now, since) => {
                self.promote_most_advanced(now);
            }
            // Guards against two primaries of one term: the lost promotion may have taken effect,
            // so no other member is promoted at this term. The driver goes on at a new one.
            PlanPhase::Promoting { candidate, since }
            | PlanPhase::Confirming { candidate, since }
                if self.is_over(now, since) =>
            {
                self.phase = PlanPhase::Ended(PlanState::CandidateLost(candidate));
            }
            PlanPhase::Following { candidate, heard_at } if self.is_over(now, heard_at) => {
                self.phase = PlanPhase::Ended(PlanState::CandidateLost(candidate));
            }
            PlanPhase::Following { candidate, .. } if self.majority_follows() => {
                self.enter(PlanPhase::Confirming { candidate, since: now }, now);
            }
            _ => {}
        }
    }

    fn advance_fencing(&mut self, now: Duration, majority_since: Option<Duration>) {
        let fenced = self.progress.iter().filter(|progress| progress.fenced.is_some()).count();
        // Guards against a promotion that misses acknowledged writes: every acknowledgement
        // rests on a majority, and only another majority is sure to share a member with it.
        if fenced < majority_of(self.progress.len()) {
            return;
        }
        let since = majority_since.unwrap_or(now);
        self.phase = PlanPhase::Fencing { majority_since: Some(since) };
        let all_heard = self.progress.iter().all(|progress| progress.tried);
        if all_heard || now >= since + self.bounds.grace {
            self.leave_fencing(now);
        }
    }

    fn leave_fencing(&mut self, now: Duration) {
        let fenced = self.fenced_members();
        let Some((best, best_status)) = choose_candidate(&fenced) else { return };
        let target = fenced.iter().find(|(member, _)| Some(&member.name) == self.target.as_ref());
        let phase = match target {
            Some((target, status)) if status.received < best_status.received => {
                PlanPhase::CatchingUp {
                    target: target.name.clone(),
                    source: best.name.clone(),
                    goal: best_status.received,
                    since: now,
                }
            }
            Some((target, _)) => {
                PlanPhase::Promoting { candidate: target.name.clone(), since: now }
            }
            None => PlanPhase::Promoting { candidate: best.name.clone(), since: now },
        };
        self.enter(phase, now);
    }

    fn promote_most_advanced(&mut self, now: Duration) {
        let fenced = self.fenced_members();
        let Some((best, _)) = choose_candidate(&fenced) else { return };
        let candidate = best.name.clone();
        for progress in &mut self.progress {
            progress.follows = false;
        }
        self.enter(PlanPhase::Promoting { candidate, since: now }, now);
    }

    fn fenced_members(&self) -> Vec<(&PlanMember, MemberStatus)> {
        let mut fenced = Vec::new();
        for progress in &self.progress {
            fenced.extend(progress.fenced.map(|status| (&progress.member, status)));
        }
        fenced
    }

    fn enter(&mut self, phase: PlanPhase, now: Duration) {
        let repeats = std::mem::discriminant(&phase) == std::mem::discriminant(&self.phase);
        self.phase = phase;
        if repeats {
            return;
        }
        for progress in &mut self.progress {
            progress.due_at = now;
        }
        if let PlanPhase::Promoting { candidate, .. } = &self.phase {
            let candidate = candidate.clone();
            self.forget_follow_of(&candidate);
        }
    }

    fn forget_follow_of(&mut self, candidate: &MemberName) {
        if let Some(index) = self.index_of(candidate) {
            self.progress[index].follows = false;
        }
    }

    fn majority_follows(&self) -> bool {
        let followers = self.progress.iter().filter(|progress| progress.follows).count();
        followers + 1 >= majority_of(self.progress.len())
    }

    fn is_over(&self, now: Duration, since: Duration) -> bool {
        now >= since + self.bounds.patience
    }
}

impl MemberProgress {
    fn new(member: PlanMember) -> Self {
        Self {
            member,
            in_flight: None,
            due_at: Duration::ZERO,
            tried: false,
            fenced: None,
            follows: false,
        }
    }
}
