//! The keeper task of one group.

use super::config::KeeperConfig;
use super::controls::{ControlResponse, GroupControls};
use super::decision::{DecisionReason, log_decision};
use super::exchange::KeeperRanking;
use super::grant_client::GrantClient;
use super::platform_calls::PlatformResult;
use super::promotion::wait_until;
use super::report_table::ReportTable;
use super::schedule::PromotionSchedule;
use super::switch::PendingSwitch;
use super::timeouts::{rank_delay, statement_timeout, vote_poll_interval};
use super::traffic::TrafficReport;
use super::view::GroupView;
use rudder_core::{
    ControlStatement, FailureDetector, GroupCondition, LogTerm, MemberName, MemberStatus,
    ObserverVote, StallDetector, TermReserve, VoteKind, WriterMark,
};
use rudder_endpoint::ControlError;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

/// Capacity of the queue of traffic reports. Further reports are dropped, since newer ones follow.
const TRAFFIC_QUEUE_MAX: usize = 256;

/// Handle to a running keeper.
#[derive(Clone)]
pub(crate) struct KeeperHandle {
    view: watch::Receiver<Arc<GroupView>>,
    traffic: mpsc::Sender<TrafficReport>,
}

impl KeeperHandle {
    /// Returns a receiver of the group's latest state.
    pub(crate) fn view(&self) -> watch::Receiver<Arc<GroupView>> {
        self.view.clone()
    }

    /// Sends the keeper a status observed with a request. Does not block.
    pub(crate) fn report(&self, report: TrafficReport) {
        // If the queue is full, the keeper has enough recent reports to process.
        let _ = self.traffic.try_send(report);
    }
}

/// Starts the keeper of one group. It runs until `stop` is cancelled.
pub(crate) fn spawn_keeper(config: KeeperConfig, stop: CancellationToken) -> KeeperHandle {
    let (traffic, incoming) = mpsc::channel(TRAFFIC_QUEUE_MAX);
    let (keeper, view) = GroupKeeper::new(config, incoming);
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = keeper.run() => {}
        }
    });
    KeeperHandle { view, traffic }
}

/// State of a keeper: what it knows of its group, and what is due next.
pub(super) struct GroupKeeper {
    pub(super) config: KeeperConfig,
    /// Start time from which the keeper measures times.
    pub(super) origin: Instant,
    pub(super) traffic: mpsc::Receiver<TrafficReport>,
    pub(super) view: watch::Sender<Arc<GroupView>>,
    pub(super) controls: GroupControls,
    pub(super) client: GrantClient,
    pub(super) platform_calls: JoinSet<PlatformResult>,
    pub(super) reports: ReportTable,
    pub(super) detector: FailureDetector,
    pub(super) reserved_terms: TermReserve,
    pub(super) stall: StallDetector,
    pub(super) schedule: PromotionSchedule,
    pub(super) ranking: KeeperRanking,
    /// Greatest term that any member is known to have accepted.
    pub(super) accepted_term: LogTerm,
    /// Greatest term at which all members were pointed to the primary.
    pub(super) repointed_term: LogTerm,
    /// Term of the primary recorded in the platform.
    pub(super) recorded_term: LogTerm,
    /// When the latest request was sent that the primary responded to.
    pub(super) primary_seen_at: Instant,
    /// When the latest round of probes started.
    pub(super) round_started_at: Instant,
    /// Reports requested before this time are ignored. It is the start of the previous round of
    /// probes, or of a later promotion.
    pub(super) window_start: Instant,
    pub(super) vote: VoteKind,
    pub(super) vote_sent_at: Option<Instant>,
    pub(super) grant_due_at: Instant,
    pub(super) order_due_at: Instant,
    pub(super) switch: Option<PendingSwitch>,
    /// Mark of the last switch order that was taken up.
    pub(super) last_order: Option<WriterMark>,
}

impl GroupKeeper {
    pub(super) fn new(
        config: KeeperConfig,
        traffic: mpsc::Receiver<TrafficReport>,
    ) -> (Self, watch::Receiver<Arc<GroupView>>) {
        let now = Instant::now();
        let names =
            config.members.iter().map(|configured| configured.member.name.clone()).collect();
        let reports = ReportTable::new(names, now);
        let (view, receiver) =
            watch::channel(Arc::new(reports.view(&config.service, LogTerm(0), now)));
        let ranking = config.exchange.ranking(&config.service);
        let domains = ranking.domain_count();
        let detector = FailureDetector::new(
            config.timing.suspect_after,
            config.domain.clone(),
            domains,
            Duration::ZERO,
        );
        let (service, instance) = (config.service.clone(), config.instance.clone());
        let keeper = Self {
            origin: now,
            traffic,
            view,
            controls: GroupControls::new(&config.members, statement_timeout(&config.timing)),
            client: GrantClient::new(config.store.clone(), service, instance),
            platform_calls: JoinSet::new(),
            reports,
            detector,
            // The mark identifies this task, not the process: a restarted keeper must not reuse a
            // reserved term that its predecessor may have used.
            reserved_terms: TermReserve::new(WriterMark::random()),
            stall: StallDetector::default(),
            schedule: PromotionSchedule::default(),
            ranking,
            accepted_term: LogTerm(0),
            repointed_term: LogTerm(0),
            recorded_term: LogTerm(0),
            primary_seen_at: now,
            round_started_at: now,
            window_start: now,
            vote: VoteKind::Reachable,
            vote_sent_at: None,
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
                response = self.controls.next() => self.record_response(&response),
                Some(report) = self.traffic.recv() => self.record_traffic_report(&report),
                Some(Ok(result)) = self.platform_calls.join_next() => self.take_call_result(result),
                _ = ticks.tick() => self.tick(),
                () = wait_until(wake_at) => {}
            }
            self.refresh_suspicion();
            if self.is_due() {
                self.run_succession(None).await;
            }
            self.process_switch_order().await;
        }
    }

    fn tick(&mut self) {
        self.refresh_ranking();
        self.evaluate();
        self.probe();
        self.call_platform();
    }

    fn refresh_ranking(&mut self) {
        self.ranking = self.config.exchange.ranking(&self.config.service);
        self.detector.set_domains_expected(self.ranking.domain_count());
        // A vote without suspicion is sent only in reply to a keeper that suspects the primary.
        // Sent in every round, such votes of healthy groups would use up the peers' send budget.
        if self.vote == VoteKind::Unreachable && self.may_resend_vote() {
            self.send_vote();
        }
    }

    fn send_vote(&mut self) {
        self.vote_sent_at = Some(Instant::now());
        self.config.exchange.send_vote(&self.config.service, self.vote);
    }

    /// Whether the own vote may be sent again. Votes are valid for `suspect_after`. If they were
    /// sent more than twice in that time, they would use up the peers' send budget, and the replies
    /// to them would be dropped.
    fn may_resend_vote(&self) -> bool {
        let pause = self.config.timing.suspect_after / 2;
        self.vote_sent_at.is_none_or(|at| at.elapsed() >= pause)
    }

    fn exchange_votes(&mut self) {
        let at = self.elapsed();
        let mut others_suspect = false;
        for vote in self.config.exchange.take_votes(&self.config.service) {
            others_suspect |= vote.kind == VoteKind::Unreachable;
            self.detector.record_vote(ObserverVote { at, ..vote });
        }
        let vote = self.detector.own_vote(at);
        // Replies to a keeper that suspects the primary. Without replies, a keeper that has lost
        // only its own link to the primary would receive no vote from another failure domain, and
        // would suspect the primary after a longer wait.
        let changed = vote != self.vote;
        if changed || others_suspect {
            self.vote = vote;
            self.send_vote();
        }
    }

    /// Probes the members that no traffic report covered in the second half of the last round.
    /// Responses to the last round's own probes were requested earlier than that.
    fn probe(&mut self) {
        let fresh_since = Instant::now() - self.config.timing.probe_interval / 2;
        for member in self.reports.members_without_report_since(fresh_since) {
            self.controls.send(&member, ControlStatement::Status);
        }
        self.window_start = self.round_started_at;
        self.round_started_at = Instant::now();
    }

    /// Assesses the group by the responses to the last two rounds of probes. A failed probe
    /// replaces an older response of the same member.
    fn evaluate(&mut self) {
        let since = self.window_start;
        if self.round_started_at == self.origin {
            return;
        }
        let condition = self.reports.condition(since);
        match &condition {
            GroupCondition::HasPrimary { .. } => {}
            GroupCondition::NoPrimary { .. } | GroupCondition::NoReports => {
                self.detector.record_failure(self.elapsed());
            }
        }
        self.repair(&condition);
        self.publish(false);
    }

    pub(super) fn record_accepted_term(&mut self, accepted: LogTerm) {
        if accepted > self.accepted_term {
            self.accepted_term = accepted;
            let now = Instant::now();
            self.schedule.other_promotion_at = Some(now);
            if !self.reserved_terms.is_usable(accepted) {
                self.grant_due_at = now;
            }
        }
    }

    fn record_response(&mut self, response: &ControlResponse) {
        let status = response.result.as_ref().ok().copied();
        if let Err(ControlError::Superseded(term)) = &response.result {
            self.record_accepted_term(*term);
        }
        self.record_status(&response.member, response.requested_at, status);
    }

    fn record_traffic_report(&mut self, report: &TrafficReport) {
        self.record_status(&report.member, report.requested_at, report.status);
    }

    /// Records a member's status. It takes effect at once, not with the next round: the primary's
    /// response clears a pending suspicion, and a greater term shows a lower-ranked keeper that
    /// another one is promoting.
    fn record_status(
        &mut self,
        member: &MemberName,
        requested_at: Instant,
        status: Option<MemberStatus>,
    ) {
        self.reports.record(member, requested_at, status);
        self.record_accepted_term(self.reports.greatest_accepted_term());
        if let GroupCondition::HasPrimary { primary, .. } =
            self.reports.condition(self.window_start)
            && let Some(requested_at) = self.reports.requested_at(&primary)
            && requested_at > self.primary_seen_at
        {
            self.primary_seen_at = requested_at;
            self.detector.record_response(requested_at - self.origin);
        }
    }

    /// Points members to the primary that do not follow it: members of a lower term, all members
    /// when this keeper first sees a term, and members whose log makes no progress.
    fn repair(&mut self, condition: &GroupCondition) {
        let GroupCondition::HasPrimary { primary, term, members_behind, .. } = condition else {
            return;
        };
        let reports = self.reports.requested_since(self.window_start);
        let Some((_, primary_status)) = reports.iter().find(|(member, _)| member == primary) else {
            return;
        };
        // A keeper may fail between promoting a member and repointing the others. The members that
        // it fenced then follow no primary, and their status does not show it.
        let is_new = *term > self.repointed_term;
        let (now, stall_timeout) = (self.elapsed(), self.config.timing.suspect_after);
        let mut to_repoint = Vec::new();
        for (member, status) in reports.iter().filter(|(member, _)| member != primary) {
            let stalled =
                self.stall.record(member, *status, primary_status.received, now, stall_timeout);
            if is_new || stalled || members_behind.contains(member) {
                to_repoint.push(member.clone());
            }
        }
        for member in to_repoint {
            self.record_decision(DecisionReason::Repointed, *term, Some(&member));
            self.controls.send(&member, ControlStatement::Follow(*term, primary.clone()));
        }
        self.repointed_term = self.repointed_term.max(*term);
    }

    pub(super) fn publish(&self, switching: bool) {
        let view = self.reports.view(&self.config.service, self.accepted_term, self.window_start);
        self.view.send_replace(Arc::new(GroupView { switching, ..view }));
    }

    fn refresh_suspicion(&mut self) {
        self.exchange_votes();
        let is_suspected = self.detector.is_suspected(self.elapsed());
        match (is_suspected, self.schedule.suspected_since) {
            (true, None) => {
                self.schedule.suspected_since = Some(Instant::now());
                let primary = self.view.borrow().primary.clone();
                self.record_decision(
                    DecisionReason::Suspected,
                    self.accepted_term,
                    primary.as_ref(),
                );
            }
            (false, Some(_)) => {
                self.schedule = PromotionSchedule::default();
                self.record_decision(DecisionReason::Cleared, self.accepted_term, None);
            }
            _ => {}
        }
    }

    fn due_at(&self) -> Option<Instant> {
        let rank = self.ranking.rank_of(&self.config.instance)?;
        self.schedule.due_at(rank, rank_delay(&self.config.timing))
    }

    fn is_due(&self) -> bool {
        self.due_at().is_some_and(|due_at| Instant::now() >= due_at)
    }

    fn wake_at(&self) -> Option<Instant> {
        let suspicion_at = self.detector.deadline().map(|deadline| self.origin + deadline);
        let now = Instant::now();
        let suspicion_at = suspicion_at.filter(|at| *at > now);
        let is_waiting =
            self.vote == VoteKind::Unreachable && self.schedule.suspected_since.is_none();
        let vote_poll_at = is_waiting.then(|| now + vote_poll_interval(&self.config.timing));
        [suspicion_at, vote_poll_at, self.due_at()].into_iter().flatten().min()
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    pub(super) fn record_decision(
        &self,
        reason: DecisionReason,
        term: LogTerm,
        member: Option<&MemberName>,
    ) {
        log_decision(reason, &self.config.service, term, member);
    }
}
