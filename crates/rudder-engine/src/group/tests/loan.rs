//! Tests of loans of connections, as applied to pools.

use crate::fixtures::member_entry;
use crate::group::loan::ConnectionLoans;
use crate::group::pool::{LinkRequest, LinkUser};
use crate::group::{GroupMember, PooledLink, ServiceGroup};
use crate::interfaces::{LinkError, MemberDialer, MemberLink, MemberTarget};
use crate::peers::{LoanRequest, LoanTarget};
use crate::statement::{MemberCommand, StatementReply};
use async_trait::async_trait;
use rudder_core::{InstanceName, MemberStatus};
use rudder_decisions::{
    LoanAction, LoanDecision, LoanRefusal, LoanResponseTerms, MemberKey, PlaceDistance,
    ResponseOutcome, ReturnReason,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;

const LONG: Duration = Duration::from_secs(10);

/// Time in which a caller that is not blocked gets a connection.
const SHORT: Duration = Duration::from_millis(60);

const OWN_SEED: u64 = 1;

const TOP_PRIORITY: u8 = 1;

/// Member that accepts every connection.
#[derive(Default)]
struct AcceptingDialer {
    dialed: AtomicU32,
}

struct IdleLink;

#[async_trait]
impl MemberDialer for AcceptingDialer {
    async fn dial(
        &self,
        _target: &MemberTarget,
        _account: Option<&rudder_core::AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError> {
        self.dialed.fetch_add(1, Ordering::Relaxed);
        Ok(Box::new(IdleLink))
    }

    fn read_status(&self, _reply: &StatementReply) -> Option<MemberStatus> {
        None
    }
}

#[async_trait]
impl MemberLink for IdleLink {
    async fn send(&mut self, _commands: &[MemberCommand]) -> Result<(), LinkError> {
        Ok(())
    }

    async fn receive(&mut self) -> Result<StatementReply, LinkError> {
        Err(LinkError::Silent)
    }
}

struct Fixture {
    group: Arc<ServiceGroup>,
    member: Arc<GroupMember>,
    loans: ConnectionLoans,
}

fn peer() -> SocketAddr {
    ([10, 0, 0, 1], 7).into()
}

fn instances(count: usize) -> Vec<InstanceName> {
    (0..count).map(|index| format!("i-{index:02}").parse().expect("a name")).collect()
}

impl Fixture {
    /// Creates an instance with this share of the connections, whose process started long ago.
    fn new(share: u32) -> Self {
        Self::of_process(share, Duration::ZERO)
    }

    fn of_process(share: u32, started_at: Duration) -> Self {
        let group = ServiceGroup::new(member_entry("a").target.service);
        let dialer: Arc<dyn MemberDialer> = Arc::new(AcceptingDialer::default());
        group.set_members(&[member_entry("a")], &dialer);
        let member = group.members().remove(0);
        let all = instances(10);
        // Four connections are reserved.
        group.assign_connection_shares(4 + 10 * share, &all[0], &all, None);
        let loans = ConnectionLoans::of_process(started_at);
        loans.set_mode(&group, Some(TOP_PRIORITY));
        Self { group, member, loans }
    }

    fn loan(&self, request_id: u64) -> LoanTarget {
        let service = self.group.service().clone();
        LoanTarget { request_id, service, member: self.member.name().clone() }
    }

    fn request(&self, request_id: u64) -> LoanRequest {
        let loan = self.loan(request_id);
        LoanRequest { loan, renewal: 0, count: 1, priority: TOP_PRIORITY + 1 }
    }

    fn lend(&self, request_id: u64) -> LoanDecision {
        self.loans.lend(Some(&self.member), &self.request(request_id), peer())
    }

    fn advance(&self) -> Vec<LoanAction> {
        let work = self.loans.advance(std::slice::from_ref(&self.group), OWN_SEED, true);
        work.into_iter().map(|work| work.action).collect()
    }

    fn report_spare(&self) {
        let target = self.member.pool().target();
        let key = MemberKey::of(&target.service, &target.member);
        let lender =
            crate::group::LoanPeer { address: peer(), distance: PlaceDistance::SameDomain };
        self.loans.record_spare(lender, &[(key, 1)]);
    }

    /// Borrows a connection for a waiting caller; returns the id of the loan.
    fn borrow(&self) -> u64 {
        self.report_spare();
        let actions = self.advance();
        let [LoanAction::Request { request_id, .. }] = actions[..] else {
            panic!("{actions:?}");
        };
        let validity = Duration::from_secs(1);
        let terms = LoanResponseTerms { request_id, renewal: 0, count: 1, validity };
        let loan = self.loan(request_id);
        let outcome = self.loans.record_response(Some(&self.member), &loan, terms, peer());
        assert_eq!(outcome, ResponseOutcome::Borrowed(1));
        request_id
    }

    async fn acquire(&self) -> Option<PooledLink> {
        self.member.pool().acquire(&link_request(), SHORT).await.ok()
    }

    /// Begins to wait for a connection.
    async fn wait(&self) -> JoinHandle<Option<PooledLink>> {
        let pool = Arc::clone(self.member.pool());
        let waiting = tokio::spawn(async move { pool.acquire(&link_request(), LONG).await.ok() });
        tokio::time::sleep(Duration::from_millis(5)).await;
        waiting
    }
}

fn link_request() -> LinkRequest {
    LinkRequest { user: LinkUser::Caller(None), rank: 4 }
}

#[tokio::test]
async fn a_borrowed_connection_serves_a_waiting_caller() {
    // The caller would be refused while connections of other instances are unused.
    let fixture = Fixture::new(1);
    let _held = fixture.acquire().await.expect("the own connection");
    let waiting = fixture.wait().await;

    fixture.borrow();

    assert!(waiting.await.expect("no panic").is_some());
}

#[tokio::test]
async fn a_lent_connection_is_not_used_until_it_is_returned() {
    // Otherwise both use it, and the member refuses connections of other instances.
    let fixture = Fixture::new(2);
    assert!(matches!(fixture.lend(7), LoanDecision::Lent { count: 1, .. }));
    let _held = fixture.acquire().await.expect("the kept connection");
    let waiting = fixture.wait().await;

    let actions = fixture.advance();
    let was_waiting = !waiting.is_finished();
    let returned = fixture.loans.record_return(Some(&fixture.member), &fixture.loan(7), peer());

    assert!(matches!(actions[..], [LoanAction::Recall { request_id: 7, .. }]), "{actions:?}");
    assert!(was_waiting && returned);
    assert!(waiting.await.expect("no panic").is_some());
}

#[tokio::test]
async fn an_idle_connection_is_closed_before_it_is_lent() {
    let fixture = Fixture::new(2);
    let links = [fixture.acquire().await, fixture.acquire().await];
    drop(links);
    // Recent use of both connections counts for all but urgent requests.
    let recent = fixture.lend(1);
    let request = LoanRequest { priority: TOP_PRIORITY, ..fixture.request(2) };
    let urgent = fixture.loans.lend(Some(&fixture.member), &request, peer());

    assert_eq!(recent, LoanDecision::Refused(LoanRefusal::NoSpare));
    assert!(matches!(urgent, LoanDecision::Lent { count: 1, .. }), "{urgent:?}");
    assert_eq!(fixture.member.pool().spare_connections(), 1);
}

#[tokio::test]
async fn a_recalled_loan_is_returned_once_its_connection_is_free() {
    // A transaction on it would be lost if it were closed at once; if it were returned at once, the
    // lender would open a connection beyond the limit.
    let fixture = Fixture::new(1);
    let held = fixture.acquire().await.expect("the own connection");
    let waiting = fixture.wait().await;
    let request_id = fixture.borrow();
    let borrowed = waiting.await.expect("no panic").expect("the borrowed connection");

    assert!(fixture.loans.record_recall(&fixture.loan(request_id), peer()));
    let before = fixture.advance();
    drop(borrowed);
    let after = fixture.advance();

    assert_eq!(before, []);
    let reason = ReturnReason::Recalled;
    assert_eq!(after, [LoanAction::Return { lender: peer(), request_id, reason }]);
    drop(held);
    assert_eq!(fixture.member.pool().spare_connections(), 1, "only the own connection is left");
}

#[tokio::test]
async fn a_new_process_uses_one_connection_and_lends_none() {
    // An earlier process of the instance may have lent the others.
    let fixture = Fixture::of_process(2, crate::clock::boot_time());
    fixture.advance();

    let _held = fixture.acquire().await.expect("one connection");

    assert!(fixture.acquire().await.is_none());
    assert_eq!(fixture.lend(1), LoanDecision::Refused(LoanRefusal::Starting));
}

#[tokio::test]
async fn a_new_process_keeps_to_one_connection_when_its_share_grows() {
    // The share is set between two checks of the loans; meanwhile the whole of it would be used.
    let fixture = Fixture::of_process(1, crate::clock::boot_time());
    let all = instances(10);
    fixture.group.assign_connection_shares(24, &all[0], &all, None);

    let _held = fixture.acquire().await.expect("one connection");

    assert!(fixture.acquire().await.is_none());
}

#[tokio::test]
async fn without_loans_nothing_changes() {
    // Deployments with accounts, ample shares or too many instances must be served as before.
    let fixture = Fixture::of_process(2, crate::clock::boot_time());
    fixture.advance();
    fixture.loans.set_mode(&fixture.group, None);
    fixture.report_spare();
    let links = [fixture.acquire().await, fixture.acquire().await];
    let waiting = fixture.wait().await;

    let actions = fixture.advance();

    assert_eq!(actions, []);
    assert!(links.iter().all(Option::is_some));
    assert!(matches!(fixture.lend(1), LoanDecision::Refused(_)));
    waiting.abort();
}

#[tokio::test]
async fn after_the_start_callers_of_low_priority_dial_later() {
    // The few connections that a member accepts after a loss of all instances would go to reads.
    let fixture = Fixture::of_process(2, crate::clock::boot_time());
    let pool = fixture.member.pool();
    let low = LinkRequest { rank: 4 * (TOP_PRIORITY + 1), ..link_request() };

    let first_low = pool.acquire(&low, SHORT).await.is_ok();
    let urgent = pool.acquire(&link_request(), SHORT).await.is_ok();

    assert_eq!((first_low, urgent), (false, true));
}
