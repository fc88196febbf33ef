//! Tests of connection pools: the order of grants, limits, and reuse of connections.

use crate::group::acquire::{AcquireError, PoolChoice, acquire_any};
use crate::group::pool::{LinkRequest, LinkUser, MemberPool};
use crate::interfaces::{LinkError, MemberDialer, MemberLink, MemberTarget};
use crate::statement::{
    MemberCommand, StatementError, StatementOutcome, StatementReply, TransactionState,
};
use async_trait::async_trait;
use rudder_core::{AccountName, MemberStatus};
use rudder_decisions::ConnectionShare;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub(super) const LONG: Duration = Duration::from_secs(30);

/// Simulated member that replies to everything, never replies, or refuses connections over a cap.
#[derive(Default)]
pub(super) struct FakeDialer {
    pub(super) dialed: AtomicU32,
    /// Accounts that connections were dialed for, in order.
    accounts: Mutex<Vec<Option<AccountName>>>,
    silent: bool,
    cap: Option<u32>,
    /// Dial count from which dials over the cap are accepted again; `None` refuses all of them.
    refusals: Option<u32>,
}

struct FakeLink {
    silent: bool,
}

#[async_trait]
impl MemberDialer for FakeDialer {
    async fn dial(
        &self,
        _target: &MemberTarget,
        account: Option<&AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError> {
        self.accounts.lock().expect("no panic").push(account.cloned());
        let dialed = self.dialed.fetch_add(1, Ordering::Relaxed);
        // The delay lets other callers join the queue meanwhile.
        tokio::time::sleep(Duration::from_millis(1)).await;
        let over = self.cap.is_some_and(|cap| dialed >= cap);
        if over && self.refusals.is_none_or(|refusals| dialed < refusals) {
            return Err(LinkError::Refused(StatementError::ConnectionLimit));
        }
        Ok(Box::new(FakeLink { silent: self.silent }))
    }

    fn read_status(&self, _reply: &StatementReply) -> Option<MemberStatus> {
        None
    }
}

#[async_trait]
impl MemberLink for FakeLink {
    async fn send(&mut self, _commands: &[MemberCommand]) -> Result<(), LinkError> {
        Ok(())
    }

    async fn receive(&mut self) -> Result<StatementReply, LinkError> {
        if self.silent {
            std::future::pending::<()>().await;
        }
        let outcome = StatementOutcome::Done(String::new());
        let state = TransactionState::Idle;
        Ok(StatementReply { rows: Vec::new(), outcome, state, position: None })
    }
}

pub(super) fn pool(dialer: &Arc<FakeDialer>, limit: u32) -> Arc<MemberPool> {
    let target = MemberTarget {
        service: "records".parse().expect("a name"),
        member: "i-1".parse().expect("a name"),
        address: ([127, 0, 0, 1], 1).into(),
    };
    let dialer: Arc<dyn MemberDialer> = Arc::clone(dialer) as _;
    MemberPool::new(target, dialer, limit)
}

fn request(rank: u8) -> LinkRequest {
    LinkRequest { user: LinkUser::Caller(None), rank }
}

#[tokio::test]
async fn a_returned_connection_serves_the_next_caller() {
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 1);

    for _ in 0..5 {
        let mut link = pool.acquire(&request(1), LONG).await.expect("a connection");
        link.exchange(&[MemberCommand::Reset], LONG).await.expect("an answer");
    }

    assert_eq!(dialer.dialed.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn a_lower_rank_is_served_before_earlier_requests() {
    // Reads wait for the only connection when a write with a lower rank arrives. Served in order of
    // arrival it would miss its deadline.
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 1);
    let held = pool.acquire(&request(1), LONG).await.expect("a connection");
    let order = Arc::new(std::sync::Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for (name, priority) in [("reader", 2), ("another reader", 2), ("order", 1)] {
        let (pool, order) = (Arc::clone(&pool), Arc::clone(&order));
        callers.push(tokio::spawn(async move {
            let link = pool.acquire(&request(priority), LONG).await.expect("a connection");
            order.lock().expect("no panic").push(name);
            drop(link);
        }));
        tokio::task::yield_now().await;
    }

    drop(held);
    for caller in callers {
        caller.await.expect("no panic");
    }

    assert_eq!(*order.lock().expect("no panic"), ["order", "reader", "another reader"]);
}

#[tokio::test]
async fn a_connection_whose_response_timed_out_is_not_reused() {
    // A device on the path has dropped the connection's state. The response may still arrive and
    // must not reach the next caller.
    let dialer = Arc::new(FakeDialer { silent: true, ..FakeDialer::default() });
    let pool = pool(&dialer, 1);
    let mut link = pool.acquire(&request(1), LONG).await.expect("a connection");

    let answer = link.exchange(&[MemberCommand::Reset], Duration::from_millis(5)).await;
    drop(link);
    pool.acquire(&request(1), LONG).await.expect("another connection");

    assert_eq!(answer.expect_err("no answer").reason, LinkError::Silent);
    assert_eq!(dialer.dialed.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn a_caller_that_stops_waiting_does_not_leak_a_connection() {
    // Callers stop waiting while connections are released. If their grants were lost, the pool
    // would run out of connections although none is in use.
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 2);
    for _ in 0..20 {
        let first = pool.acquire(&request(1), LONG).await.expect("a connection");
        let second = pool.acquire(&request(1), LONG).await.expect("a connection");
        let waiting = pool.acquire(&request(1), Duration::from_millis(1)).await;
        assert!(matches!(waiting, Err(AcquireError::WaitOver)));
        first.close();
        drop(second);
    }

    assert_eq!(pool.spare_connections(), 2);
}

#[tokio::test]
async fn a_member_at_its_connection_limit_is_not_dialed_repeatedly() {
    // Other instances briefly hold more than their shares. Dialing again at once would close as
    // many connections as it opens.
    let dialer = Arc::new(FakeDialer { cap: Some(1), ..FakeDialer::default() });
    let pool = pool(&dialer, 10);
    let held = pool.acquire(&request(1), LONG).await.expect("a connection");

    for _ in 0..50 {
        let refused = pool.acquire(&request(1), Duration::ZERO).await;
        assert!(refused.is_err());
    }

    assert!(dialer.dialed.load(Ordering::Relaxed) <= 4);
    drop(held);
}

#[tokio::test]
async fn a_smaller_share_closes_idle_connections() {
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 3);
    let first = pool.acquire(&request(1), LONG).await.expect("a connection");
    let second = pool.acquire(&request(1), LONG).await.expect("a connection");
    drop(first);

    pool.set_share(ConnectionShare(1), false);
    drop(second);

    assert_eq!(pool.spare_connections(), 1);
}

#[tokio::test]
async fn queued_callers_share_the_pause_after_a_refused_dial() {
    // After a power loss of all instances the members still count their old connections. If each
    // refusal let the next caller dial, every instance would make hundreds of dials a second that
    // are known to be refused.
    let dialer = Arc::new(FakeDialer { cap: Some(0), ..FakeDialer::default() });
    let pool = pool(&dialer, 2);
    let started_at = Instant::now();

    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..200 {
        let pool = Arc::clone(&pool);
        callers.spawn(async move {
            pool.acquire(&request(1), Duration::from_millis(300)).await.is_ok()
        });
    }
    let served = callers.join_all().await;

    // The pause is at least 50 ms, and two dials may be in progress when the first one is refused.
    let pauses = u32::try_from(started_at.elapsed().as_millis() / 50).expect("a short test");
    assert!(served.iter().all(|served| !served));
    assert!(dialer.dialed.load(Ordering::Relaxed) <= 2 + pauses);
}

#[tokio::test]
async fn queued_callers_are_served_once_a_full_member_has_room() {
    // The connections of failed machines expire one by one. Waiting callers must then be served
    // even if no new request arrives.
    let dialer = Arc::new(FakeDialer { cap: Some(0), refusals: Some(2), ..FakeDialer::default() });
    let pool = pool(&dialer, 2);

    let link = pool.acquire(&request(1), LONG).await;

    assert!(link.is_ok());
    assert_eq!(dialer.dialed.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn a_read_takes_the_first_connection_of_any_member() {
    // All members are full. A read that waits only for the nearest one would be refused at its
    // deadline although connections to another one became free.
    let dialer = Arc::new(FakeDialer::default());
    let pools = [pool(&dialer, 1), pool(&dialer, 1)];
    let _near = pools[0].acquire(&request(1), LONG).await.expect("a connection");
    let far = pools[1].acquire(&request(1), LONG).await.expect("a connection");
    let choices = pools.clone().map(|pool| PoolChoice { pool, kept_free: 0 });
    let read = tokio::spawn(async move { acquire_any(&choices, &request(1), LONG).await });
    tokio::task::yield_now().await;

    drop(far);
    let (index, _link) = read.await.expect("no panic").expect("a connection");

    assert_eq!(index, 1);
    assert_eq!(pools[0].spare_connections(), 0, "the read left the other queue");
}

#[tokio::test]
async fn reads_leave_the_last_connection_to_the_primary_to_writes() {
    // If reads that replicas can serve held all connections of an instance to the primary, a write,
    // which only the primary can run, would be refused.
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 2);
    let read = [PoolChoice { pool: Arc::clone(&pool), kept_free: 1 }];

    let first = acquire_any(&read, &request(3), Duration::ZERO).await;
    let second = acquire_any(&read, &request(3), Duration::ZERO).await;
    let write = pool.acquire(&request(2), Duration::ZERO).await;

    assert!(first.is_ok());
    assert_eq!(second.err(), Some(AcquireError::WaitOver));
    assert!(write.is_ok());
}

#[tokio::test]
async fn the_only_connection_to_a_member_also_serves_reads() {
    // If an instance may hold only one connection, reserving it for writes would block its reads
    // for as long as no replica is fresh enough.
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 1);
    let read = [PoolChoice { pool, kept_free: 1 }];

    let link = acquire_any(&read, &request(3), Duration::ZERO).await;

    assert!(link.is_ok());
}

#[tokio::test]
async fn idle_connections_are_closed_after_the_idle_timeout() {
    // After a power loss of all instances the members count their old connections for seconds, idle
    // ones included, and refuse new ones: callers would be rejected for lack of a connection.
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 2);
    drop(pool.acquire(&request(1), LONG).await.expect("a connection"));
    tokio::time::sleep(Duration::from_millis(260)).await;

    pool.set_share(ConnectionShare(2), false);
    drop(pool.acquire(&request(1), LONG).await.expect("a connection"));

    assert_eq!(dialer.dialed.load(Ordering::Relaxed), 2);
}

pub(super) fn request_for(account: &str) -> LinkRequest {
    LinkRequest { user: LinkUser::Caller(Some(account.parse().expect("a name"))), rank: 1 }
}

/// Statements of one account must not run on a connection that was opened for another one.
#[tokio::test]
async fn a_connection_serves_only_the_account_it_was_opened_for() {
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 2);

    for account in ["choirs", "bands", "choirs", "bands"] {
        let link = pool.acquire(&request_for(account), LONG).await.expect("a connection");
        assert_eq!(link.account().map(AccountName::as_str), Some(account));
    }

    assert_eq!(dialer.dialed.load(Ordering::Relaxed), 2);
}

/// Without the replacement, callers wait forever while all connections are idle for other accounts.
#[tokio::test]
async fn the_longest_idle_connection_is_replaced_for_another_account() {
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 2);
    for account in ["choirs", "bands"] {
        let kept = pool.acquire(&request_for(account), LONG).await.expect("a connection");
        drop(kept);
    }

    let third = pool.acquire(&request_for("soloists"), LONG).await.expect("a connection");
    let bands = pool.acquire(&request_for("bands"), LONG).await.expect("a connection");
    let fourth = pool.acquire(&request_for("choirs"), Duration::from_millis(20)).await;

    assert_eq!(dialer.dialed.load(Ordering::Relaxed), 3);
    assert!(fourth.is_err(), "the number of open connections stays within the limit");
    drop((third, bands));
}

/// A change of primary must not wait for a separate connection, as a connection of any account
/// works.
#[tokio::test]
async fn control_commands_take_a_connection_of_any_account() {
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 1);
    drop(pool.acquire(&request_for("choirs"), LONG).await.expect("a connection"));

    let control = LinkRequest { user: LinkUser::Control, rank: 0 };
    let link = pool.acquire(&control, LONG).await.expect("a connection");

    assert_eq!(dialer.dialed.load(Ordering::Relaxed), 1);
    drop(link);
}

/// Without headroom, callers are refused while one transaction holds the only connection, although
/// the member accepts more.
#[tokio::test]
async fn an_instance_may_exceed_its_share_where_shares_are_scarce() {
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 1);
    pool.set_share(ConnectionShare(1), true);
    let transaction = pool.acquire(&request(1), LONG).await.expect("a connection");

    let statement = pool.acquire(&request(1), Duration::from_millis(50)).await;

    assert!(statement.is_ok());
    drop(transaction);
}

/// At a full member, connections beyond the share are taken from other instances.
#[tokio::test]
async fn headroom_is_withdrawn_after_a_refused_connection() {
    let dialer = Arc::new(FakeDialer { cap: Some(1), ..FakeDialer::default() });
    let pool = pool(&dialer, 1);
    pool.set_share(ConnectionShare(1), true);
    let held = pool.acquire(&request(1), LONG).await.expect("a connection");

    for _ in 0..5 {
        let refused = pool.acquire(&request(1), Duration::from_millis(100)).await;
        assert!(refused.is_err());
    }

    assert_eq!(dialer.dialed.load(Ordering::Relaxed), 2);
    drop(held);
}
