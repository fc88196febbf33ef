//! The steps of one succession (replacement of a primary) at one term, as a state machine without
//! sockets or a clock.
//!
//! The steps are: fence a majority, choose the most advanced member, promote it, make the others
//! replicate from it, and confirm it. Every statement is idempotent at the members, so each step can
//! be repeated, also by another instance at a greater term after this one crashed or was suspended.

use super::plan_phase::{MemberProgress, PlanPhase, SentStatement};
use super::plan_step::{PlanMember, PlanReply, PlanRequest, PlanState, PlanTimeouts};
use crate::control::ControlStatement;
use crate::ident::MemberName;
use crate::plain_data;
use crate::stamp::LogTerm;
use std::time::Duration;

plain_data! {
    /// One succession at one term.
    ///
    /// No other plan may use the same term: two plans with the same term could promote two members
    /// at it.
    pub struct SuccessionPlan {
        pub(super) term: LogTerm,
        pub(super) timeouts: PlanTimeouts,
        pub(super) target: Option<MemberName>,
        pub(super) progress: Vec<MemberProgress>,
        pub(super) phase: PlanPhase,
    }
}

impl SuccessionPlan {
    /// Creates a plan for all members of a group that has sent no statement yet.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanTimeouts, PlanMember, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let timeouts = PlanTimeouts { retry: bound, grace: bound, timeout: 4 * bound };
    /// let member = PlanMember { name: "scores-1".parse()?, preference: 0 };
    /// let mut plan = SuccessionPlan::new(LogTerm(2), vec![member], timeouts);
    /// let requests = plan.poll(Duration::ZERO);
    /// assert_eq!(requests[0].statement.to_string(), "SELECT rudder.fence(2)");
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn new(term: LogTerm, members: Vec<PlanMember>, timeouts: PlanTimeouts) -> Self {
        let progress = members.into_iter().map(MemberProgress::new).collect();
        let phase = PlanPhase::Fencing { majority_since: None };
        Self { term, timeouts, target: None, progress, phase }
    }

    /// Makes this a planned switch: `target` is promoted once its log has caught up with the most
    /// advanced log.
    ///
    /// If the target cannot be fenced or does not catch up in time, the most advanced member is
    /// promoted instead, so that the group has a primary after a failed switch.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanTimeouts, PlanState, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let timeouts = PlanTimeouts { retry: bound, grace: bound, timeout: 4 * bound };
    /// let plan = SuccessionPlan::new(LogTerm(2), vec![], timeouts).switch_to("scores-2".parse()?);
    /// assert_eq!(plan.state(), PlanState::Running);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn switch_to(mut self, target: MemberName) -> Self {
        self.target = Some(target);
        self
    }

    /// Returns the plan's term.
    #[must_use]
    pub const fn term(&self) -> LogTerm {
        self.term
    }

    /// Returns the state of the plan.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanTimeouts, PlanState, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let timeouts = PlanTimeouts { retry: bound, grace: bound, timeout: 4 * bound };
    /// let plan = SuccessionPlan::new(LogTerm(2), vec![], timeouts);
    /// assert_eq!(plan.state(), PlanState::Running);
    /// ```
    #[must_use]
    pub fn state(&self) -> PlanState {
        match &self.phase {
            PlanPhase::Ended(state) => state.clone(),
            _ => PlanState::Running,
        }
    }

    /// Returns the statements to send now. At most one is in flight to each member.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanTimeouts, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let timeouts = PlanTimeouts { retry: bound, grace: bound, timeout: 4 * bound };
    /// assert!(SuccessionPlan::new(LogTerm(2), vec![], timeouts).poll(Duration::ZERO).is_empty());
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

    /// Handles the reply to a statement that [`Self::poll`] returned. Late and repeated replies
    /// have no effect.
    ///
    /// ```
    /// use rudder_core::{
    ///     ControlStatement, LogTerm, PlanTimeouts, PlanMember, PlanReply, PlanState, SuccessionPlan,
    /// };
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let timeouts = PlanTimeouts { retry: bound, grace: bound, timeout: 4 * bound };
    /// let member = PlanMember { name: "scores-1".parse()?, preference: 0 };
    /// let mut plan = SuccessionPlan::new(LogTerm(2), vec![member.clone()], timeouts);
    /// let requests = plan.poll(Duration::ZERO);
    /// let reply = PlanReply::Superseded(LogTerm(7));
    /// plan.handle_reply(Duration::ZERO, &member.name, &requests[0].statement, reply);
    /// assert_eq!(plan.state(), PlanState::Superseded(LogTerm(7)));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn handle_reply(
        &mut self,
        now: Duration,
        member: &MemberName,
        statement: &ControlStatement,
        reply: PlanReply,
    ) {
        if matches!(self.phase, PlanPhase::Ended(_)) {
            return;
        }
        // A greater accepted term means that another succession has begun since, concurrently or
        // while this instance was suspended. This plan must not continue beside it.
        if let Some(term) = self.superseding_term(reply) {
            self.phase = PlanPhase::Ended(PlanState::Superseded(term));
            return;
        }
        let Some(index) = self.index_of(member) else { return };
        let Some(sent) = self.take_in_flight(index, statement) else { return };
        match reply {
            PlanReply::Status(status) => self.handle_status(now, index, &sent, status),
            PlanReply::NoResponse => self.handle_failure(now, index, &sent, reply),
            // A `Superseded` reply that reaches this point names a term that is not greater, so the
            // member has not accepted the plan's term.
            PlanReply::Refused | PlanReply::Superseded(_) => {
                self.handle_failure(now, index, &sent, PlanReply::Refused);
            }
        }
        self.advance(now);
    }

    /// Returns the time at which [`Self::poll`] next has work, unless a reply arrives before.
    ///
    /// ```
    /// use rudder_core::{LogTerm, PlanTimeouts, SuccessionPlan};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(50);
    /// let timeouts = PlanTimeouts { retry: bound, grace: bound, timeout: 4 * bound };
    /// assert_eq!(SuccessionPlan::new(LogTerm(2), vec![], timeouts).next_deadline(), None);
    /// ```
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        // Members without a next statement are skipped: their due time may be past, and the driver
        // would poll in a busy loop.
        let waiting =
            self.progress.iter().filter(|progress| self.next_statement(progress).is_some());
        let retry_at = waiting.map(|progress| progress.due_at).min();
        let phase_end = match &self.phase {
            PlanPhase::Fencing { majority_since } => {
                majority_since.map(|at| at + self.timeouts.grace)
            }
            PlanPhase::CatchingUp { since, .. }
            | PlanPhase::Promoting { since, .. }
            | PlanPhase::Confirming { since, .. } => Some(*since + self.timeouts.timeout),
            PlanPhase::Following { last_status_at, .. } => {
                Some(*last_status_at + self.timeouts.timeout)
            }
            PlanPhase::Ended(_) => return None,
        };
        retry_at.into_iter().chain(phase_end).min()
    }

    pub(super) fn index_of(&self, member: &MemberName) -> Option<usize> {
        self.progress.iter().position(|progress| progress.member.name == *member)
    }

    fn superseding_term(&self, reply: PlanReply) -> Option<LogTerm> {
        let term = match reply {
            PlanReply::Superseded(term) => term,
            PlanReply::Status(status) => status.accepted,
            PlanReply::Refused | PlanReply::NoResponse => return None,
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
}
