//! Decides when a keeper that suspects the primary starts a promotion.

use std::time::Duration;
use tokio::time::Instant;

/// Times that determine when this keeper starts a promotion.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PromotionSchedule {
    /// When the current suspicion of the primary began.
    pub(super) suspected_since: Option<Instant>,
    /// When another keeper's promotion was last seen, by a term that this keeper did not use.
    pub(super) other_promotion_at: Option<Instant>,
    /// Earliest time of the next attempt after a failed one.
    pub(super) retry_at: Option<Instant>,
}

impl PromotionSchedule {
    /// Returns when to start a promotion, or none while the primary is not suspected.
    ///
    /// The delays keep keepers from fencing each other's promotions in turn: a lower rank waits
    /// longer, and a keeper that sees another one's fence gives it one more delay to finish.
    /// Concurrent promotions are still safe, since their terms differ.
    pub(super) fn due_at(&self, rank: u32, rank_delay: Duration) -> Option<Instant> {
        let by_rank = self.suspected_since? + rank_delay * rank;
        let after_others = self.other_promotion_at.map(|at| at + rank_delay * (rank + 1));
        [Some(by_rank), after_others, self.retry_at].into_iter().flatten().max()
    }
}
