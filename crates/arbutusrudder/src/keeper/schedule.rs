//! When a keeper that suspects the primary acts.

use std::time::Duration;
use tokio::time::Instant;

/// What delays the own succession.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PromotionSchedule {
    /// Since when the primary is suspected.
    pub(super) suspected_since: Option<Instant>,
    /// When another keeper's step was last seen: a term that this one did not use.
    pub(super) other_promotion_at: Option<Instant>,
    /// When the last own attempt asks to rest until.
    pub(super) retry_at: Option<Instant>,
}

impl PromotionSchedule {
    /// When to act; none while nothing is suspected.
    ///
    /// Guards against keepers that fence each other's promotions in turn: a lower rank waits
    /// longer, and whoever sees another one's fence gives it one delay more to finish. Acting at
    /// the same time all the same is safe, since their terms differ.
    pub(super) fn due_at(&self, rank: u32, rank_delay: Duration) -> Option<Instant> {
        let by_rank = self.suspected_since? + rank_delay * rank;
        let after_others = self.other_promotion_at.map(|at| at + rank_delay * (rank + 1));
        [Some(by_rank), after_others, self.retry_at].into_iter().flatten().max()
    }
}
