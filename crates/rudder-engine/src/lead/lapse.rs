//! When a change of primary may go on to the promotion.

use super::book::PERMIT_LIFE;
use std::time::Duration;

/// What is added to a permit's life before it is taken to have lapsed: clocks of two machines
/// that run at slightly different speeds, and an answer on its way to a caller.
const LAPSE_MARGIN: Duration = Duration::from_millis(150);

/// How far the stopping of all instances has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopProgress {
    /// When the store's answer to the intent came, so that it had taken effect by then.
    pub(crate) written_by: Duration,
    /// Whether the list of instances was read after the intent was written. Without it there may
    /// be instances that nobody waits for.
    pub(crate) listed: bool,
    /// Listed instances that have not said that they stopped.
    pub(crate) unheard: usize,
}

impl StopProgress {
    /// When the last permit for the old primary has lapsed.
    pub(crate) fn lapses_at(&self) -> Duration {
        self.written_by + PERMIT_LIFE + LAPSE_MARGIN
    }

    /// Whether no instance answers for the old primary any more.
    pub(crate) fn is_over(&self, now: Duration) -> bool {
        (self.listed && self.unheard == 0) || now >= self.lapses_at()
    }
}
