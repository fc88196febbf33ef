//! Upper bound of the operations that run while grants of others are returned.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rudder_core::AccountName;
use rudder_decisions::{
    ClaimScope, ClaimTerms, LimitBounds, LimitLedger, LimitQueues, OperationLimit, OwnerRole,
    QueueOutcome,
};
use std::time::Duration;

const LIMIT: OperationLimit = OperationLimit { milli_per_second: 10_000, burst: 20 };

/// Without an allowance, the bucket holds exactly the burst.
const BOUNDS: LimitBounds =
    LimitBounds { window: Duration::from_secs(5), overage_permille: 0, tolerance: 0 };

struct Owner {
    account: AccountName,
    ledger: LimitLedger,
    queues: LimitQueues<()>,
    role: OwnerRole,
    now: Duration,
}

impl Owner {
    fn new() -> Self {
        Self {
            account: "choirs".parse().expect("a name"),
            ledger: LimitLedger::default(),
            queues: LimitQueues::new(0),
            role: OwnerRole::Settled,
            now: Duration::from_secs(60),
        }
    }

    fn scope(&self) -> ClaimScope {
        ClaimScope { limit: LIMIT, bounds: BOUNDS, role: self.role, rank: 0, now: self.now }
    }

    fn claim(&mut self) -> Option<u64> {
        let (scope, terms) = (self.scope(), ClaimTerms::default());
        let notices = self.queues.claim(&mut self.ledger, &self.account, scope, terms, ());
        match notices[0].outcome {
            QueueOutcome::Granted { grant, .. } => Some(grant),
            _ => None,
        }
    }

    fn claim_all(&mut self) -> Vec<u64> {
        std::iter::from_fn(|| self.claim()).collect()
    }

    fn return_grant(&mut self, grant: u64) -> bool {
        let scope = self.scope();
        self.queues.return_grant(&mut self.ledger, &self.account, scope, grant)
    }
}

/// Whether a bucket could have granted the operations that ran at these times.
fn fits_bucket(ran_at: &[Duration]) -> bool {
    let rate = LIMIT.milli_per_second as f64 / 1000.0;
    ran_at.iter().enumerate().all(|(first, from)| {
        ran_at[first..].iter().enumerate().all(|(more, until)| {
            let allowed = f64::from(LIMIT.burst) + rate * (*until - *from).as_secs_f64();
            more as f64 + 1.0 <= allowed + 0.001
        })
    })
}

/// A token that the bucket would have lost by overflowing must not be put back.
#[test]
fn grants_are_not_returned_after_the_bucket_was_full() {
    let mut owner = Owner::new();
    let unused = owner.claim_all();
    owner.now += Duration::from_secs(3);
    let ran = owner.claim_all().len();

    let returned = unused.iter().filter(|grant| owner.return_grant(**grant)).count();

    assert_eq!((ran, returned), (20, 0));
}

/// A bucket that is half full would have overflowed with the tokens of many outstanding grants.
#[test]
fn at_most_half_of_the_burst_is_returned_within_a_window() {
    let mut owner = Owner::new();
    let unused = owner.claim_all();
    owner.now += Duration::from_millis(900);
    let ran = owner.claim_all().len();

    let returned = unused.iter().filter(|grant| owner.return_grant(**grant)).count();

    assert_eq!((ran, returned), (9, 10));
}

/// A doubled return, or one sent to another process of the owner, must add no token.
#[test]
fn a_grant_is_returned_once_and_only_to_its_process() {
    let mut owner = Owner::new();
    let grants = owner.claim_all();
    let mut restarted = Owner::new();
    restarted.queues = LimitQueues::new(1 << 32);
    restarted.claim_all();

    assert!(!restarted.return_grant(grants[0]));
    assert!(owner.return_grant(grants[0]));
    assert!(!owner.return_grant(grants[0]));
    assert_eq!(owner.claim_all().len(), 1);
}

/// A bucket that was emptied because another owner may have granted must not get tokens of the time
/// before.
#[test]
fn grants_are_not_returned_after_another_owner_may_have_granted() {
    let mut owner = Owner::new();
    let grants = owner.claim_all();
    owner.ledger.step_down(&owner.account);
    owner.now += Duration::from_millis(500);
    assert!(owner.claim().is_none());

    assert!(!owner.return_grant(grants[0]));
}

/// A bucket that shrank lost the operations above its new capacity, also without a refill.
#[test]
fn grants_are_not_returned_after_the_capacity_changed() {
    let mut owner = Owner::new();
    let grants: Vec<u64> = (0..10).filter_map(|_| owner.claim()).collect();
    owner.role = OwnerRole::Successor;
    assert!(owner.claim().is_some());
    owner.role = OwnerRole::Settled;

    assert!(!owner.return_grant(grants[0]));
}

/// A grant of an earlier window must not come back.
#[test]
fn a_grant_is_not_returned_after_the_window() {
    let mut owner = Owner::new();
    let grants = owner.claim_all();
    for _ in 0..60 {
        owner.now += Duration::from_millis(100);
        owner.claim_all();
    }

    assert!(!owner.return_grant(grants[0]));
}

/// Returned grants could let more operations run than a bucket of those that ran.
#[test]
fn operations_that_run_fit_a_bucket_under_random_returns() {
    let mut returned = 0;
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut owner = Owner::new();
        let (mut ran_at, mut unused) = (Vec::new(), Vec::new());
        for _ in 0..80 {
            owner.now += Duration::from_millis(random.random_range(0..700));
            let returns = random.random_bool(0.5);
            for _ in 0..random.random_range(0..25) {
                let Some(grant) = owner.claim() else { break };
                if random.random_bool(0.5) {
                    ran_at.push(owner.now);
                } else {
                    unused.push(grant);
                }
            }
            while returns && !unused.is_empty() {
                let index = random.random_range(0..unused.len());
                let grant = unused.swap_remove(index);
                returned += usize::from(owner.return_grant(grant));
                if random.random_bool(0.2) {
                    owner.return_grant(grant);
                }
            }
        }
        assert!(fits_bucket(&ran_at), "seed {seed}");
    }
    assert!(returned > 1000, "{returned} grants were returned");
}
