//! Tests of connection pools of holders: which idle connections are kept.

use super::pool::{FakeDialer, LONG, pool, request_for};
use crate::group::pool::MemberPool;
use rudder_core::AccountName;
use rudder_decisions::{HolderBudget, LocalPool};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Longer than connections are kept without a budget.
const SHORT_IDLE: Duration = Duration::from_millis(260);

const LONG_IDLE: Duration = Duration::from_secs(11);

const HOLDER: HolderBudget = HolderBudget { kept: 2, open_max: 2 };

fn account(name: &str) -> AccountName {
    name.parse().expect("a name")
}

/// Opens a connection for each account in turn and returns it to the pool.
async fn use_in_turn(pool: &Arc<MemberPool>, accounts: &[&str]) {
    for account in accounts {
        drop(pool.acquire(&request_for(account), LONG).await.expect("a connection"));
    }
}

fn warm(pool: &MemberPool, accounts: &[&str]) -> Vec<bool> {
    accounts.iter().map(|name| pool.local_pool(&account(name)).is_warm).collect()
}

#[tokio::test]
async fn a_holder_keeps_connections_within_its_budget_for_seconds() {
    // Closed after a quarter of a second, nearly every statement of a small account opens one.
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 2);
    use_in_turn(&pool, &["choirs", "bands"]).await;

    pool.set_budget_at(HOLDER, true, Instant::now() + SHORT_IDLE);
    use_in_turn(&pool, &["choirs", "bands"]).await;

    assert_eq!(dialer.dialed.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn connections_beyond_the_budget_are_closed_the_least_recently_used_first() {
    // Headroom allows four; the member has room for a second fleet only if the excess is closed.
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 2);
    pool.set_budget(HOLDER, true);
    let names = ["choirs", "bands", "soloists"];
    use_in_turn(&pool, &names).await;
    use_in_turn(&pool, &["choirs"]).await;

    pool.set_budget_at(HOLDER, true, Instant::now() + SHORT_IDLE);

    assert_eq!(warm(&pool, &names), [true, false, true]);
}

#[tokio::test]
async fn connections_of_silent_accounts_are_closed_after_seconds() {
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 2);
    use_in_turn(&pool, &["choirs"]).await;

    pool.set_budget_at(HOLDER, true, Instant::now() + LONG_IDLE);

    assert_eq!(warm(&pool, &["choirs"]), [false]);
}

#[tokio::test]
async fn an_instance_without_a_budget_keeps_no_idle_connection() {
    // It may dial if no holder is usable; kept connections would add up beyond the limit.
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 1);
    pool.set_budget(HolderBudget { kept: 0, open_max: 1 }, true);
    use_in_turn(&pool, &["choirs"]).await;
    assert_eq!(warm(&pool, &["choirs"]), [true]);

    pool.set_budget_at(HolderBudget { kept: 0, open_max: 1 }, true, Instant::now() + SHORT_IDLE);

    assert_eq!(warm(&pool, &["choirs"]), [false]);
}

#[tokio::test]
async fn waiting_callers_are_counted_until_they_stop_waiting() {
    // The count decides whether another holder is used; callers that left would keep it high.
    let dialer = Arc::new(FakeDialer::default());
    let pool = pool(&dialer, 1);
    pool.set_budget(HolderBudget { kept: 1, open_max: 1 }, false);
    let held = pool.acquire(&request_for("choirs"), LONG).await.expect("a connection");
    let waiter = {
        let pool = Arc::clone(&pool);
        tokio::spawn(async move { pool.acquire(&request_for("bands"), LONG).await.is_ok() })
    };
    tokio::time::sleep(Duration::from_millis(20)).await;

    let before = pool.local_pool(&account("choirs"));
    waiter.abort();
    assert!(waiter.await.is_err(), "it was aborted");
    let after = pool.local_pool(&account("choirs"));

    assert_eq!(before, LocalPool { is_warm: false, waiting: 1, open_max: 1 });
    assert_eq!(after.waiting, 0);
    drop(held);
}
