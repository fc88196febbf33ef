//! Statements that fail at a member which is otherwise healthy.

use crate::clock::boot_time;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::fixtures::{RejectingPromotion, UnavailableStore, identity, member_entry};
use crate::group::MemberEntry;
use crate::interfaces::{LinkError, MemberDialer, MemberLink, MemberTarget};
use crate::lead::{LeadPhase, LeadRecord, LeaderEpoch};
use crate::session::job::StatementJob;
use crate::settings::{DatabaseName, RouteKind, RouteRule};
use crate::statement::{
    MemberCommand, RequestId, StatementBody, StatementEffect, StatementError, StatementOutcome,
    StatementReply, TransactionState,
};
use async_trait::async_trait;
use rudder_core::{AccountName, LogStamp, LogTerm, MemberName, MemberStatus, ServiceName};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Simulated members, some of which fail statements.
#[derive(Default)]
struct FailingMembers {
    /// Failing members with the number of statements that each still fails.
    failing: Mutex<Vec<(MemberName, u32)>>,
    /// Members that received a statement, in order.
    contacted: Mutex<Vec<MemberName>>,
    /// Whether the members run statements without a response.
    is_silent: bool,
}

impl FailingMembers {
    fn new(failing: &[(&str, u32)]) -> Arc<Self> {
        let failing = failing.iter().map(|(name, count)| (member(name), *count)).collect();
        let contacted = Mutex::default();
        Arc::new(Self { failing: Mutex::new(failing), contacted, is_silent: false })
    }

    fn contacted(&self) -> Vec<String> {
        let contacted = self.contacted.lock().expect("no holder panics");
        contacted.iter().map(ToString::to_string).collect()
    }

    fn outcome_at(&self, member: &MemberName) -> StatementOutcome {
        self.contacted.lock().expect("no holder panics").push(member.clone());
        let mut failing = self.failing.lock().expect("no holder panics");
        let left = failing.iter_mut().find(|(name, left)| name == member && *left > 0);
        let Some((_, left)) = left else { return StatementOutcome::Done("proof".to_owned()) };
        *left -= 1;
        StatementOutcome::Error { error: StatementError::Failed, text: "it failed".to_owned() }
    }
}

struct FailingDialer(Arc<FailingMembers>);

struct FailingLink {
    members: Arc<FailingMembers>,
    member: MemberName,
}

#[async_trait]
impl MemberDialer for FailingDialer {
    async fn dial(
        &self,
        target: &MemberTarget,
        _account: Option<&AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError> {
        let members = Arc::clone(&self.0);
        Ok(Box::new(FailingLink { members, member: target.member.clone() }))
    }

    fn read_status(&self, _reply: &StatementReply) -> Option<MemberStatus> {
        None
    }
}

#[async_trait]
impl MemberLink for FailingLink {
    async fn send(&mut self, _commands: &[MemberCommand]) -> Result<(), LinkError> {
        Ok(())
    }

    async fn receive(&mut self) -> Result<StatementReply, LinkError> {
        let outcome = self.members.outcome_at(&self.member);
        if self.members.is_silent {
            return Err(LinkError::Silent);
        }
        let (state, position) = (TransactionState::Idle, Some(position()));
        Ok(StatementReply { rows: Vec::new(), outcome, state, position })
    }
}

fn member(name: &str) -> MemberName {
    name.parse().expect("a name")
}

fn service() -> ServiceName {
    "records".parse().expect("a name")
}

fn position() -> LogStamp {
    LogStamp::new(1, 7)
}

/// An instance with the primary `a` and the replicas `b` and `c`, all at the same distance.
fn engine(members: &Arc<FailingMembers>) -> Arc<ProxyEngine> {
    let dependencies = crate::identity::EngineDependencies {
        dialer: Arc::new(FailingDialer(Arc::clone(members))),
        promotion: Arc::new(RejectingPromotion),
        store: Arc::new(UnavailableStore),
    };
    let engine = ProxyEngine::new(identity("own"), dependencies);
    let entries: Vec<MemberEntry> = ["a", "b", "c"].map(member_entry).into();
    engine.apply_members(&entries, 1);
    engine.set_registered(Some(boot_time()));
    let now = boot_time();
    engine.record_store_read(&[service()], now);
    let phase = LeadPhase::Settled { primary: member("a"), term: LogTerm(1), base: None };
    let record =
        LeadRecord { epoch: LeaderEpoch(1), mark: "m1".to_owned(), phase, orders: Vec::new() };
    engine.observe_record(&service(), &record, now);
    engine.group(&service()).record_peer_sample(LeaderEpoch(1), now, position());
    engine
}

fn access(kind: RouteKind) -> RouteAccess {
    let route = RouteRule {
        database: DatabaseName("db".to_owned()),
        service: service(),
        kind,
        statement_timeout: Duration::from_secs(5),
        latency_target: Duration::from_secs(4),
        priority: 1,
        is_public: false,
    };
    RouteAccess { route: Arc::new(route), account: None }
}

fn job(effect: StatementEffect, access: &RouteAccess) -> StatementJob {
    let id = RequestId("r1".to_owned());
    let body = StatementBody::Text("READ x".to_owned());
    StatementJob::new(id, body, effect, None, &[], access)
}

/// Without a retry elsewhere, reads fail for as long as the nearest member fails them.
#[tokio::test]
async fn a_read_that_fails_at_one_member_is_served_by_another() {
    let members = FailingMembers::new(&[("a", 9)]);
    let engine = engine(&members);
    let access = access(RouteKind::Bounded(Duration::from_secs(60)));

    let reply =
        engine.read_bounded(&access.route, &job(StatementEffect::Read, &access), None).await;

    assert_eq!(reply.error(), None);
    assert_eq!(members.contacted(), ["a", "b"]);
}

/// A read that every member failed must not be reported as not run.
#[tokio::test]
async fn a_read_that_fails_everywhere_is_tried_once_at_each_member_and_reported_as_failed() {
    let members = FailingMembers::new(&[("a", 9), ("b", 9), ("c", 9)]);
    let engine = engine(&members);
    let access = access(RouteKind::Bounded(Duration::from_secs(60)));

    let reply =
        engine.read_bounded(&access.route, &job(StatementEffect::Read, &access), None).await;

    assert_eq!(reply.error(), Some(&StatementError::Failed));
    assert_eq!(members.contacted(), ["a", "b", "c"]);
}

/// Without a retry, a single failure at the primary fails the strict read.
#[tokio::test]
async fn a_failed_strict_read_is_retried_once() {
    let members = FailingMembers::new(&[("a", 1)]);
    let engine = engine(&members);
    let access = access(RouteKind::Strict);

    let reply = engine.run_strict(&access.route, &job(StatementEffect::Read, &access)).await;

    assert_eq!(reply.error(), None);
    assert_eq!(members.contacted(), ["a", "a"]);
}

/// Without a bound on retries, a primary that fails all reads receives each of them endlessly.
#[tokio::test]
async fn a_strict_read_that_fails_twice_is_reported_as_failed() {
    let members = FailingMembers::new(&[("a", 9)]);
    let engine = engine(&members);
    let access = access(RouteKind::Strict);

    let reply = engine.run_strict(&access.route, &job(StatementEffect::Read, &access)).await;

    assert_eq!(reply.error(), Some(&StatementError::Failed));
    assert_eq!(members.contacted(), ["a", "a"]);
}

/// A retry could run the write twice.
#[tokio::test]
async fn a_failed_write_is_not_retried() {
    let members = FailingMembers::new(&[("a", 1)]);
    let engine = engine(&members);
    let access = access(RouteKind::Strict);

    let reply = engine.run_strict(&access.route, &job(StatementEffect::Write, &access)).await;

    assert_eq!(reply.error(), Some(&StatementError::Failed));
    assert_eq!(members.contacted(), ["a"]);
}

/// The grant of an operation that ran must not be returned, even if the reply is an error.
#[tokio::test]
async fn a_statement_that_failed_at_a_member_may_have_run() {
    for kind in [RouteKind::Strict, RouteKind::Bounded(Duration::from_secs(60))] {
        let members = FailingMembers::new(&[("a", 9), ("b", 9), ("c", 9)]);
        let engine = engine(&members);
        let access = access(kind);
        let job = job(StatementEffect::Read, &access);
        assert!(!job.may_have_run());

        match kind {
            RouteKind::Strict => engine.run_strict(&access.route, &job).await,
            _ => engine.read_bounded(&access.route, &job, None).await,
        };

        assert!(job.may_have_run());
    }
}

/// A read whose response was lost may have run, so a refusal must not say that it was not run, nor
/// must its grant be returned.
#[tokio::test]
async fn a_read_without_a_response_is_not_reported_as_not_run() {
    for kind in [RouteKind::Strict, RouteKind::Bounded(Duration::from_secs(60))] {
        let members = Arc::new(FailingMembers { is_silent: true, ..FailingMembers::default() });
        let engine = engine(&members);
        let mut access = access(kind);
        Arc::make_mut(&mut access.route).latency_target = Duration::from_millis(400);
        let job = job(StatementEffect::Read, &access);

        let reply = match kind {
            RouteKind::Strict => engine.run_strict(&access.route, &job).await,
            _ => engine.read_bounded(&access.route, &job, None).await,
        };

        assert_eq!(reply.error(), Some(&StatementError::TimedOut), "{kind:?}");
    }
}
