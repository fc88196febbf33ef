//! The task that keeps one group.

use super::bounds::{rank_delay, statement_bound, vote_poll};
use super::config::KeeperConfig;
use super::controls::{ControlAnswer, GroupControls};
use super::decision::{DecisionReason, log_decision};
use super::event::TrafficNote;
use super::exchange::KeeperRoster;
use super::grant_client::GrantClient;
use super::member_book::MemberBook;
use super::platform_calls::PlatformNews;
use super::promotion::wait_until;
use super::schedule::ActSchedule;
use super::switch::PendingSwitch;
use super::view::GroupView;
use rudder_core::{
    ControlStatement, GroupCondition, LogTerm, MemberName, MemberStatus, ObserverVote, StallWatch,
    SuspicionTally, TermPurse, VoteKind, WriterMark,
};
use rudder_endpoint::ControlError;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

/// Notes from traffic that wait for the keeper; more are dropped, since newer ones follow.
const NOTES_MAX: usize = 256;

/// What the rest of the instance holds of a running keeper.
#[derive(Clone)]
pub(crate) struct KeeperHandle {
    view: watch::Receiver<Arc<GroupView>>,
    notes: mpsc::Sender<TrafficNote>,
}

impl KeeperHandle {
    /// The group's latest state, and a way to wait for the next.
    pub(crate) fn view(&self) -> watch::Receiver<Arc<GroupView>> {
        self.view.clone()
    }

    /// Tells the keeper what a request showed. Never waits.
    pub(crate) fn note(&self, note: TrafficNote) {
        // A full queue means that the keeper has plenty of newer notes to read.
        let _ = self.notes.try_send(note);
    }
}

/// Starts the keeper of one group; it runs until `stop` is cancelled.
pub(crate) fn spawn_keeper(config: KeeperConfig, stop: CancellationToken) -> KeeperHandle {
    let (notes, incoming) = mpsc::channel(NOTES_MAX);
    let (keeper, view) = GroupKeeper::new(config, incoming);
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = keeper.run() => {}
        }
    });
    KeeperHandle { view, notes }
}

pub(super) struct GroupKeeper {
    pub(super) config: KeeperConfig,
    pub(super) origin: Instant,
    pub(super) notes: mpsc::Receiver<TrafficNote>,
    pub(super) view: watch::Sender<Arc<GroupView>>,
    pub(super) controls: GroupControls,
    pub(super) client: GrantClient,
    pub(super) platform_calls: JoinSet<PlatformNews>,
    pub(super) book: MemberBook,
    pub(super) tally: SuspicionTally,
    pub(super) purse: TermPurse,
    pub(super) stall: StallWatch,
    pub(super) schedule: ActSchedule,
    pub(super) roster: KeeperRoster,
    pub(super) accepted: LogTerm,
    pub(super) repointed_term: LogTerm,
    pub(super) settled_term: LogTerm,
    pub(super) heard_at: Instant,
    pub(super) round_at: Instant,
    pub(super) window_at: Instant,
    pub(super) vote: VoteKind,
    pub(super) cast_at: Option<Instant>,
    pub(super) grant_due_at: Instant,
    pub(super) order_due_at: Instant,
    pub(super) switch: Option<PendingSwitch>,
    pub(super) last_order: Option<WriterMark>,
}

impl GroupKeeper {
    pub(super) fn new(
        config: KeeperConfig,
        notes: mpsc::Receiver<TrafficNote>,
    ) -> (Self, watch::Receiver<Arc<GroupView>>) {
        let now = Instant::now();
        let names = config.members.iter().map(|known| known.member.name.clone()).collect();
        let book = MemberBook::new(names, now);
        let (view, receiver) =
            watch::channel(Arc::new(book.view(&config.service, LogTerm(0), now)));
        let roster = config.exchange.roster(&config.service);
        let domains = roster.domain_count();
        let tally = SuspicionTally::new(
            config.timing.suspect_after,
            config.domain.clone(),
            domains,
            Duration::ZERO,
        );
        let (service, instance) = (config.service.clone(), config.instance.clone());
        let keeper = Self {
            origin: now,
            notes,
            view,
            controls: GroupControls::new(&config.members, statement_bound(&config.timing)),
            client: GrantClient::new(config.store.clone(), service, instance),
            platform_calls: JoinSet::new(),
            book,
            tally,
            // A mark of this task, not of the process: a keeper that starts anew must not repeat
            // a reserved term that the one before it may have used.
            purse: TermPurse::new(WriterMark::random()),
            stall: StallWatch::default(),
            schedule: ActSchedule::default(),
            roster,
            accepted: LogTerm(0),
            repointed_term: LogTerm(0),
            settled_term: LogTerm(0),
            heard_at: now,
            round_at: now,
            window_at: now,
            vote: VoteKind::Heard,
            cast_at: None,
            grant_due_at: now,
            order_due_at: now,
            switch: None,
            last_order: None,
            config,
        };
        (keeper, receiver)
    }

    pub(super) async fn run(mut self) {
        let mut ticks = tokio::time::interval(self.config.timing.probe_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wake_at = self.wake_at();
            tokio::select! {
                biased;
                answer = self.controls.next() => self.note_answer(&answer),
                Some(note) = self.notes.recv() => self.note_traffic(&note),
                Some(Ok(news)) = self.platform_calls.join_next() => self.note_platform(news),
                _ = ticks.tick() => self.tick(),
                () = wait_until(wake_at) => {}
            }
            self.refresh_suspicion();
            if self.is_due() {
                self.succeed(None).await;
            }
            self.carry_out_switch().await;
        }
    }

    fn tick(&mut self) {
        self.refresh_roster();
        self.evaluate();
        self.probe();
        self.call_platform();
    }

    fn refresh_roster(&mut self) {
        self.roster = self.config.exchange.roster(&self.config.service);
        self.tally.expect_domains(self.roster.domain_count());
        // A vote that all is well is told to those who doubt it only: told in every round, the
        // votes of quiet groups used up what peers may send.
        if self.vote == VoteKind::Unheard && self.may_repeat() {
            self.cast();
        }
    }

    fn cast(&mut self) {
        self.cast_at = Some(Instant::now());
        self.config.exchange.cast(&self.config.service, self.vote);
    }

    /// Whether the own vote may be told again. Votes live for `suspect_after`; told more often than
    /// twice in that time, they use up what peers may send, and the answers are withheld.
    fn may_repeat(&self) -> bool {
        let pause = self.config.timing.suspect_after / 2;
        self.cast_at.is_none_or(|at| at.elapsed() >= pause)
    }

    fn exchange_votes(&mut self) {
        let at = self.elapsed();
        let mut doubted = false;
        for vote in self.config.exchange.take_votes(&self.config.service) {
            doubted |= vote.kind == VoteKind::Unheard;
            self.tally.note_vote(ObserverVote { at, ..vote });
        }
        let vote = self.tally.own_vote(at);
        // Guards against one cut link: without the others' answer, the observer behind it would
        // hear no other failure domain speak, and suspect the primary after a longer wait.
        let changed = vote != self.vote;
        if changed || doubted {
            self.vote = vote;
            self.cast();
        }
    }

    /// Asks the members that no traffic reported on in the later half of the last round. Answers
    /// to the last round's own probes are older than that.
    fn probe(&mut self) {
        let fresh_since = Instant::now() - self.config.timing.probe_interval / 2;
        for member in self.book.unheard_since(fresh_since) {
            self.controls.send(&member, ControlStatement::Status);
        }
        self.window_at = self.round_at;
        self.round_at = Instant::now();
    }

    /// Judges the answers of the last two rounds of probes; a failed probe hides older answers.
    fn evaluate(&mut self) {
        let since = self.window_at;
        if self.round_at == self.origin {
            return;
        }
        let condition = self.book.condition(since);
        match &condition {
            GroupCondition::Led { .. } => {}
            GroupCondition::Leaderless { .. } | GroupCondition::Unheard => {
                self.tally.note_failure(self.elapsed());
            }
        }
        self.repair(&condition);
        self.publish(false);
    }

    pub(super) fn note_accepted(&mut self, accepted: LogTerm) {
        if accepted > self.accepted {
            self.accepted = accepted;
            let now = Instant::now();
            self.schedule.others_acted_at = Some(now);
            if !self.purse.is_usable(accepted) {
                self.grant_due_at = now;
            }
        }
    }

    fn note_answer(&mut self, answer: &ControlAnswer) {
        let status = answer.result.as_ref().ok().copied();
        if let Err(ControlError::Superseded(term)) = &answer.result {
            self.note_accepted(*term);
        }
        self.note_status(&answer.member, answer.asked_at, status);
    }

    fn note_traffic(&mut self, note: &TrafficNote) {
        self.note_status(&note.member, note.asked_at, note.status);
    }

    /// Answers count at once and not with the next round: the primary's withdraws a suspicion that
    /// is about to turn, and a greater term shows a keeper of a lower rank that another one acts.
    fn note_status(
        &mut self,
        member: &MemberName,
        asked_at: Instant,
        status: Option<MemberStatus>,
    ) {
        self.book.note(member, asked_at, status);
        self.note_accepted(self.book.accepted());
        if let GroupCondition::Led { primary, .. } = self.book.condition(self.window_at)
            && let Some(asked_at) = self.book.asked_at(&primary)
            && asked_at > self.heard_at
        {
            self.heard_at = asked_at;
            self.tally.note_answer(asked_at - self.origin);
        }
    }

    /// Points members to the primary that do not follow it: strays of a lower term, everyone when
    /// this keeper first sees a term, and members whose log stands still.
    fn repair(&mut self, condition: &GroupCondition) {
        let GroupCondition::Led { primary, term, strays, .. } = condition else { return };
        let reports = self.book.since(self.window_at);
        let Some((_, leader)) = reports.iter().find(|(member, _)| member == primary) else {
            return;
        };
        // Guards against a promoter that died between promotion and repointing: the members it
        // fenced follow nobody, and nothing in their status says so.
        let is_new = *term > self.repointed_term;
        let (now, bound) = (self.elapsed(), self.config.timing.suspect_after);
        let mut lost = Vec::new();
        for (member, status) in reports.iter().filter(|(member, _)| member != primary) {
            let stalled = self.stall.note(member, *status, leader.received, now, bound);
            if is_new || stalled || strays.contains(member) {
                lost.push(member.clone());
            }
        }
        for member in lost {
            self.decide(DecisionReason::Repointed, *term, Some(&member));
            self.controls.send(&member, ControlStatement::Follow(*term, primary.clone()));
        }
        self.repointed_term = self.repointed_term.max(*term);
    }

    pub(super) fn publish(&self, switching: bool) {
        let view = self.book.view(&self.config.service, self.accepted, self.window_at);
        self.view.send_replace(Arc::new(GroupView { switching, ..view }));
    }

    fn refresh_suspicion(&mut self) {
        self.exchange_votes();
        let is_suspected = self.tally.is_suspected(self.elapsed());
        match (is_suspected, self.schedule.suspected_since) {
            (true, None) => {
                self.schedule.suspected_since = Some(Instant::now());
                let primary = self.view.borrow().primary.clone();
                self.decide(DecisionReason::Suspected, self.accepted, primary.as_ref());
            }
            (false, Some(_)) => {
                self.schedule = ActSchedule::default();
                self.decide(DecisionReason::Cleared, self.accepted, None);
            }
            _ => {}
        }
    }

    fn due_at(&self) -> Option<Instant> {
        let rank = self.roster.rank_of(&self.config.instance)?;
        self.schedule.due_at(rank, rank_delay(&self.config.timing))
    }

    fn is_due(&self) -> bool {
        self.due_at().is_some_and(|due_at| Instant::now() >= due_at)
    }

    fn wake_at(&self) -> Option<Instant> {
        let turns_at = self.tally.deadline().map(|deadline| self.origin + deadline);
        let now = Instant::now();
        let turns_at = turns_at.filter(|at| *at > now);
        let is_waiting = self.vote == VoteKind::Unheard && self.schedule.suspected_since.is_none();
        let votes_at = is_waiting.then(|| now + vote_poll(&self.config.timing));
        [turns_at, votes_at, self.due_at()].into_iter().flatten().min()
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    pub(super) fn decide(
        &self,
        reason: DecisionReason,
        term: LogTerm,
        member: Option<&MemberName>,
    ) {
        log_decision(reason, &self.config.service, term, member);
    }
}
