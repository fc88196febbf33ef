//! Loans of connections between instances: messages, and when loans are used.

use crate::engine::ProxyEngine;
use crate::group::{GroupMember, LoanPeer, LoanWork};
use crate::peers::{
    LoanRecall, LoanRequest, LoanResponse, LoanReturn, LoanTarget, PeerEntry, PeerExchange,
    PeerMessage, SpareConnections, SpareCount,
};
use rudder_decisions::{
    LoanAction, LoanDecision, MemberKey, MemberRotation, NodePlace, ResponseOutcome, ReturnReason,
    uses_connection_loans,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Interval between checks while no loan exists and no caller waits, and between checks of all
/// members.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between checks while loans are not used. The end of the wait is notified as well.
const UNUSED_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between checks while loans exist or callers wait: a loan that was recalled is returned,
/// or the next lender asked, within this time.
const BUSY_INTERVAL: Duration = Duration::from_millis(10);

/// Minimum time between two checks, however many callers arrive.
const MIN_INTERVAL: Duration = Duration::from_millis(3);

/// Time after the last caller had to wait for which checks stay frequent: the longest wait for a
/// connection.
const BUSY_TIME: Duration = Duration::from_millis(400);

/// Interval between reports of spare connections, the same as that of heartbeats.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval between reports that have not changed.
const REPEAT_INTERVAL: Duration = Duration::from_millis(2000);

/// Maximum number of instances of its own failure domain that receive an instance's reports.
const NEAR_RECEIVERS_MAX: usize = 8;

/// Number of instances of other failure domains that receive an instance's reports.
const REMOTE_RECEIVERS: usize = 3;

/// Borrows, lends and returns connections as long as the instance runs.
pub(super) async fn keep_loans(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    let own_seed = xxh3_64(engine.identity().name.as_str().as_bytes());
    let mut report = ReportSchedule::new(own_seed);
    let mut busy_until = Instant::now();
    let mut full_pass_at: Option<Instant> = None;
    loop {
        let now = Instant::now();
        let loans = engine.loans();
        if !loans.is_used() && !loans.has_loans() {
            loans.wait_need(UNUSED_INTERVAL).await;
            continue;
        }
        let is_full = full_pass_at.is_none_or(|at| now >= at + IDLE_INTERVAL);
        if is_full {
            full_pass_at = Some(now);
        }
        for work in loans.advance(&engine.groups(), own_seed, is_full) {
            send_work(&exchange, work).await;
        }
        metrics::counter!("rudder_loan_checks_total").absolute(loans.checks());
        if let Some(message) = report.due(&engine, now) {
            exchange.send_all(&message, &report_receivers(&engine, own_seed)).await;
        }
        tokio::time::sleep(MIN_INTERVAL).await;
        let is_busy = loans.has_loans() || now < busy_until;
        let interval = if is_busy { BUSY_INTERVAL } else { IDLE_INTERVAL };
        if loans.wait_need(interval - MIN_INTERVAL).await {
            busy_until = Instant::now() + BUSY_TIME;
        }
    }
}

/// Applies whether loans are used, by the settings and the list of instances. Called before the
/// shares are set, so that a process that has just started uses one connection from the beginning.
pub(super) fn update_modes(engine: &ProxyEngine) {
    let Some(settings) = engine.settings() else { return };
    // Without a list only some of the instances are known.
    let has_list = engine.membership().knows_owners();
    let instances = if has_list { engine.membership().known_count() } else { 0 };
    let top_priority = settings.routes.iter().map(|route| route.priority).min();
    for group in engine.groups().iter() {
        let rules = &settings.services;
        let found = rules.binary_search_by(|rule| rule.service.cmp(group.service()));
        let is_used = found.is_ok_and(|index| {
            let connections_max = rules[index].connections_max;
            uses_connection_loans(connections_max, instances, settings.accounts.is_some())
        });
        engine.loans().set_mode(group, top_priority.filter(|_| is_used));
    }
}

/// Sends what a decision demands.
async fn send_work(exchange: &PeerExchange, work: LoanWork) {
    let LoanWork { action, service, member, priority } = work;
    let target =
        |request_id| LoanTarget { request_id, service: service.clone(), member: member.clone() };
    match action {
        LoanAction::Request { lender, request_id, count, renewal } => {
            let loan = target(request_id);
            let request = LoanRequest { loan, renewal, count, priority };
            exchange.send(&PeerMessage::LoanRequest(request), lender).await;
        }
        LoanAction::Return { lender, request_id, reason } => {
            let loan = target(request_id);
            record_event("returned", reason.code(), &loan, lender, 0);
            exchange.send(&PeerMessage::LoanReturn(LoanReturn { loan }), lender).await;
        }
        LoanAction::Recall { borrower, request_id } => {
            let loan = target(request_id);
            record_event("recalled", "callers_wait", &loan, borrower, 0);
            exchange.send(&PeerMessage::LoanRecall(LoanRecall { loan }), borrower).await;
        }
        LoanAction::Overdue { lender } => {
            record_event("returned", "overdue", &target(0), lender, 0);
        }
        LoanAction::Unanswered { lender } => {
            record_event("refused", "unanswered", &target(0), lender, 0);
        }
    }
}

/// Counts and logs what happened to a loan.
fn record_event(
    event: &'static str,
    reason: &'static str,
    loan: &LoanTarget,
    peer: SocketAddr,
    count: u32,
) {
    metrics::counter!("rudder_connection_loans_total", "event" => event, "reason" => reason)
        .increment(1);
    log::info!(
        service:% = loan.service, member:% = loan.member, loan = loan.request_id, peer:% = peer,
        event = event, reason = reason, connections = count;
        "a loan of connections changed"
    );
}

fn member_of(engine: &ProxyEngine, loan: &LoanTarget) -> Option<Arc<GroupMember>> {
    // Only known services are looked up, as a lookup creates the group.
    let known = engine.groups();
    let index = known.binary_search_by(|group| group.service().cmp(&loan.service)).ok()?;
    known[index].member(&loan.member)
}

/// Records another instance's report of spare connections.
pub(super) fn record_spare(engine: &ProxyEngine, report: SpareConnections, from: SocketAddr) {
    if !engine.loans().is_used() {
        return;
    }
    let (entries, _) = engine.membership().entries();
    let Some(entry) = entries.iter().find(|entry| entry.address == from) else {
        metrics::counter!("rudder_spare_reports_dropped_total", "reason" => "unlisted")
            .increment(1);
        log::debug!(
            peer:% = from, reason = "unlisted";
            "a report of spare connections was dropped, as its sender is not in the list"
        );
        return;
    };
    let distance = engine.identity().place().distance(&place_of(engine, entry));
    let counts: Vec<(MemberKey, u32)> = report.counts.into_iter().map(Into::into).collect();
    engine.loans().record_spare(LoanPeer { address: from, distance }, &counts);
}

fn place_of(engine: &ProxyEngine, entry: &PeerEntry) -> NodePlace {
    let regions = &engine.identity().regions;
    let found = regions.binary_search_by(|(domain, _)| domain.cmp(&entry.domain));
    let region = found.map_or_else(|_| String::new(), |index| regions[index].1.clone());
    NodePlace { domain: entry.domain.clone(), region }
}

/// Responds to another instance's request for connections.
pub(super) async fn respond_to_loan_request(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    request: LoanRequest,
    from: SocketAddr,
) {
    let member = member_of(engine, &request.loan);
    let decision = engine.loans().lend(member.as_deref(), &request, from);
    match decision {
        LoanDecision::Lent { count, .. } => {
            let reason = if request.renewal > 0 { "renewal" } else { "request" };
            record_event("lent", reason, &request.loan, from, count);
        }
        LoanDecision::Refused(refusal) => {
            record_event("refused", refusal.code(), &request.loan, from, 0);
        }
    }
    let response = LoanResponse::new(request, decision);
    exchange.send(&PeerMessage::LoanResponse(response), from).await;
}

/// Applies a lender's response. A loan that is not expected here is returned at once.
pub(super) async fn handle_loan_response(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    response: LoanResponse,
    from: SocketAddr,
) {
    let member = member_of(engine, &response.loan);
    let terms = (&response).into();
    match engine.loans().record_response(member.as_deref(), &response.loan, terms, from) {
        ResponseOutcome::Borrowed(count) => {
            record_event("borrowed", "response", &response.loan, from, count);
        }
        ResponseOutcome::Renewed => {
            record_event("borrowed", "renewal", &response.loan, from, response.count);
        }
        ResponseOutcome::Refused => {}
        ResponseOutcome::Repeated => {
            record_event("ignored", "repeated_response", &response.loan, from, 0);
        }
        ResponseOutcome::Unknown if response.count > 0 => {
            return_unknown(exchange, response.loan, from).await;
        }
        ResponseOutcome::Unknown => {
            record_event("ignored", "unknown_response", &response.loan, from, 0);
        }
    }
}

async fn return_unknown(exchange: &PeerExchange, loan: LoanTarget, lender: SocketAddr) {
    record_event("returned", ReturnReason::Unknown.code(), &loan, lender, 0);
    exchange.send(&PeerMessage::LoanReturn(LoanReturn { loan }), lender).await;
}

/// Takes a returned loan back.
pub(super) fn handle_loan_return(engine: &ProxyEngine, notice: &LoanReturn, from: SocketAddr) {
    let member = member_of(engine, &notice.loan);
    if !engine.loans().record_return(member.as_deref(), &notice.loan, from) {
        record_event("ignored", "unknown_return", &notice.loan, from, 0);
    }
}

/// Ends a loan that its lender needs back. An unknown loan has ended, which the lender is told.
pub(super) async fn handle_loan_recall(
    engine: &ProxyEngine,
    exchange: &PeerExchange,
    recall: LoanRecall,
    from: SocketAddr,
) {
    if !engine.loans().record_recall(&recall.loan, from) {
        return_unknown(exchange, recall.loan, from).await;
    }
}

/// Reports of spare connections that were sent.
pub(super) struct ReportSchedule {
    rotation: MemberRotation,
    last: Vec<SpareCount>,
    sent_at: Option<Instant>,
}

impl ReportSchedule {
    pub(super) fn new(own_seed: u64) -> Self {
        Self { rotation: MemberRotation::new(own_seed), last: Vec::new(), sent_at: None }
    }

    /// Returns the report that is due: when it has changed, but not more often than heartbeats, and
    /// otherwise at longer intervals. Nothing is reported repeatedly if nothing can be lent. Reports
    /// about some of the members are sent at the longer intervals only.
    pub(super) fn due(&mut self, engine: &ProxyEngine, now: Instant) -> Option<PeerMessage> {
        if self.sent_at.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return None;
        }
        let is_due = self.sent_at.is_none_or(|at| now >= at + REPEAT_INTERVAL);
        let groups = engine.groups();
        let members: Vec<Arc<GroupMember>> =
            groups.iter().flat_map(|group| group.members()).collect();
        if MemberRotation::is_partial(members.len()) && !is_due {
            return None;
        }
        let chosen = self.rotation.next(members.len()).map(|positions| &members[positions]);
        let spare = chosen.concat().into_iter().filter_map(|member| engine.loans().spare(&member));
        let counts: Vec<SpareCount> = spare.map(SpareCount::from).collect();
        if counts == self.last && (counts.is_empty() || !is_due) {
            return None;
        }
        self.sent_at = Some(now);
        self.last.clone_from(&counts);
        Some(PeerMessage::SpareConnections(SpareConnections { counts }))
    }
}

/// Returns the receivers of this instance's reports: the instances of its failure domain, some of
/// them if there are many, and a few of the others. They differ between instances.
pub(super) fn report_receivers(engine: &ProxyEngine, own_seed: u64) -> Vec<SocketAddr> {
    let own = engine.identity();
    let (entries, _) = engine.membership().entries();
    let others = entries.into_iter().filter(|entry| entry.instance != own.name);
    let (mut near, mut far): (Vec<PeerEntry>, Vec<PeerEntry>) =
        others.partition(|entry| entry.domain == own.domain);
    for (receivers, count) in [(&mut near, NEAR_RECEIVERS_MAX), (&mut far, REMOTE_RECEIVERS)] {
        receivers.sort_by_cached_key(|entry| {
            xxh3_64_with_seed(entry.instance.as_str().as_bytes(), own_seed)
        });
        receivers.truncate(count);
    }
    near.into_iter().chain(far).map(|entry| entry.address).collect()
}
