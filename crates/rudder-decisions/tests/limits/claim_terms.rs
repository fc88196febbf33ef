//! Claims with unusual terms, and limits that grant little or nothing.

use super::fleet::BOUNDS;
use rudder_core::AccountName;
use rudder_decisions::{
    ClaimScope, ClaimTerms, LimitLedger, LimitQueues, OperationLimit, OwnerRole, QueueNotice,
    QueueOutcome,
};
use std::time::Duration;

struct Owner {
    account: AccountName,
    limit: OperationLimit,
    ledger: LimitLedger,
    queues: LimitQueues<u32>,
}

impl Owner {
    fn new(milli_per_second: u64, burst: u32) -> Self {
        Self {
            account: "choirs".parse().expect("a name"),
            limit: OperationLimit { milli_per_second, burst },
            ledger: LimitLedger::default(),
            queues: LimitQueues::new(0),
        }
    }

    fn scope(&self, ms: u64, role: OwnerRole) -> ClaimScope {
        let now = Duration::from_secs(60) + Duration::from_millis(ms);
        ClaimScope { limit: self.limit, bounds: BOUNDS, role, rank: 0, now }
    }

    fn claim(&mut self, ms: u64, terms: ClaimTerms, claimant: u32) -> Vec<QueueNotice<u32>> {
        let scope = self.scope(ms, OwnerRole::Full);
        self.queues.claim(&mut self.ledger, &self.account, scope, terms, claimant)
    }

    /// Takes all tokens with claims that do not wait.
    fn exhaust(&mut self, ms: u64) {
        for _ in 0..10_000 {
            let notices = self.claim(ms, terms(2, 0, 100), 0);
            if !matches!(notices[0].outcome, QueueOutcome::Granted { .. }) {
                return;
            }
        }
        panic!("the limit grants too much");
    }
}

fn terms(priority: u8, wait_ms: u64, deadline_ms: u64) -> ClaimTerms {
    ClaimTerms {
        priority: Some(priority),
        wait: Duration::from_millis(wait_ms),
        deadline: Duration::from_millis(deadline_ms),
        ..ClaimTerms::default()
    }
}

/// A claim with an absurd wait or deadline must not occupy the queue for longer than any real one,
/// nor overflow a calculation.
#[test]
fn absurd_waits_are_bounded() {
    for limit in [(10_000, 1), (1, 0), (0, 0), (u64::MAX, u32::MAX)] {
        let mut owner = Owner::new(limit.0, limit.1);
        let absurd = ClaimTerms {
            wait: Duration::MAX,
            deadline: Duration::MAX,
            reservation: Some(u64::MAX),
            ..terms(0, 0, 0)
        };
        for claimant in 0..200 {
            for notice in owner.claim(0, absurd, claimant) {
                if let QueueOutcome::Queued { within } = notice.outcome {
                    assert!(within <= Duration::from_secs(10), "{within:?}");
                }
            }
        }
    }
}

/// A caller whose deadline is past must not wait, and takes no token that others wait for.
#[test]
fn a_claim_past_its_deadline_is_rejected_at_once() {
    let mut owner = Owner::new(10_000, 1);
    owner.exhaust(0);

    let notices = owner.claim(0, terms(0, 500, 0), 1);

    assert!(matches!(notices[0].outcome, QueueOutcome::Rejected(_)), "{notices:?}");
}

/// An account whose limit is zero must be rejected at once, not wait for a token.
#[test]
fn a_limit_of_zero_queues_no_claim() {
    let mut owner = Owner::new(0, 0);
    owner.exhaust(0);

    let notices = owner.claim(0, terms(0, 500, 2500), 1);

    assert!(matches!(notices[0].outcome, QueueOutcome::Rejected(_)), "{notices:?}");
    assert_eq!(owner.queues.next_service_at(), None);
}

/// A claim without a priority could overtake urgent work.
#[test]
fn a_missing_priority_counts_as_the_lowest() {
    let mut owner = Owner::new(10_000, 1);
    owner.exhaust(0);

    let unstated = ClaimTerms { priority: None, ..terms(0, 1000, 2500) };
    owner.claim(0, unstated, 1);
    owner.claim(0, terms(1, 1000, 2500), 2);

    let scope = owner.scope(150, OwnerRole::Full);
    let served = owner.queues.serve(&mut owner.ledger, &owner.account, scope);
    assert_eq!(served[0].claimant, 2, "{served:?}");
}

/// A claim that urgent work displaces could wait for a token that never comes in time. Claims of the
/// lowest priority in use have the floor, so this one has a priority between.
#[test]
fn a_displaced_claim_is_rejected_at_once() {
    let mut owner = Owner::new(10_000, 1);
    owner.exhaust(0);
    let first = owner.claim(0, terms(1, 800, 2500), 1);
    assert!(matches!(first[0].outcome, QueueOutcome::Queued { .. }), "{first:?}");

    let rejected = (2..20)
        .flat_map(|claimant| owner.claim(0, terms(0, 800, 2500), claimant))
        .find(|notice| notice.claimant == 1);

    let Some(QueueNotice { outcome: QueueOutcome::Rejected(rejection), .. }) = rejected else {
        panic!("a rejection of the first claim: {rejected:?}");
    };
    assert_eq!(rejection.reason, "displaced");
}

/// An instance that has stopped granting must not keep claims waiting, nor take back grants.
#[test]
fn a_queue_ends_with_the_role() {
    let mut owner = Owner::new(10_000, 1);
    let granted = owner.claim(0, terms(0, 500, 2500), 0);
    let QueueOutcome::Granted { grant, .. } = granted[0].outcome else { panic!("a grant") };
    owner.exhaust(0);
    owner.claim(0, terms(0, 500, 2500), 1);

    let scope = owner.scope(10, OwnerRole::Absent);
    let ended = owner.queues.serve(&mut owner.ledger, &owner.account, scope);

    assert_eq!((ended[0].claimant, ended[0].outcome), (1, QueueOutcome::NotOwner));
    let scope = owner.scope(20, OwnerRole::Full);
    assert!(!owner.queues.return_grant(&mut owner.ledger, &owner.account, scope, grant));
}

/// Reservations of higher priorities that are due one after another must not starve the lowest
/// priority while nothing else waits.
#[test]
fn a_due_reservation_does_not_hold_back_the_token_of_the_floor() {
    let mut owner = Owner::new(100_000, 10);
    owner.exhaust(0);
    owner.claim(0, terms(0, 0, 900), 1);
    let reserved = owner.claim(0, terms(1, 15, 900), 2);
    assert!(matches!(&reserved[0].outcome, QueueOutcome::Rejected(rejection)
        if rejection.reservation.is_some()));
    let queued = owner.claim(0, terms(2, 400, 900), 3);
    assert!(matches!(queued[0].outcome, QueueOutcome::Queued { .. }));

    let scope = owner.scope(10, OwnerRole::Full);
    let served = owner.queues.serve(&mut owner.ledger, &owner.account, scope);

    assert!(matches!(served[0].outcome, QueueOutcome::Granted { .. }), "{served:?}");
}
