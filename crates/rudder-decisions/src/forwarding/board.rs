//! What an instance has learned about holders.
//!
//! Load pattern: one holder is lost, restarts or is overloaded, and hundreds of statements per
//! second are meant for it. If each of them tried it, each would lose a round trip or the time
//! until its silence is noticed, which exceeds the shortest latency target. It is therefore skipped
//! for a limited time, after which a single statement tries it.
//!
//! A few accounts carry most of the load, so the holder of a large account can be overloaded by that
//! account alone. Overload therefore counts for the account whose statement was declined: this
//! account uses the next holder as well, and the other accounts stay where their connections are.

use rudder_core::{AccountName, InstanceName};
use std::time::{Duration, Instant};

/// Time for which an account avoids an overloaded holder. A declined statement costs a round trip of
/// up to 24 ms between regions; tried at this interval, that is a tenth of the time.
const OVERLOADED_PAUSE: Duration = Duration::from_millis(250);

/// Time for which an unreachable holder is first skipped: one heartbeat interval.
const UNREACHABLE_PAUSE_MIN: Duration = Duration::from_secs(1);

/// Maximum time for which an unreachable holder is skipped. A statement that tries a silent holder
/// waits 600 ms for it, so that tries cost less than a tenth of the time; a holder that returns is
/// used again within this time.
const UNREACHABLE_PAUSE_MAX: Duration = Duration::from_secs(8);

/// Time for which a draining holder is skipped. It ends within its grace period, but its process may
/// be replaced sooner.
const DRAINING_PAUSE: Duration = Duration::from_secs(5);

/// Holders that this instance does not use for now.
///
/// ```
/// use rudder_decisions::HolderBoard;
/// use std::time::{Duration, Instant};
/// let now = Instant::now();
/// let holder = "entry-1".parse()?;
/// let (large, small) = ("choirs".parse()?, "bands".parse()?);
/// let mut board = HolderBoard::default();
/// board.record_overloaded(&holder, &large, now);
/// assert!(!board.try_use(&holder, &large, now));
/// assert!(board.try_use(&holder, &small, now), "only the account that was declined moves");
/// board.record_unreachable(&holder, now);
/// assert!(!board.try_use(&holder, &small, now));
/// let later = now + Duration::from_secs(1);
/// assert!(board.try_use(&holder, &small, later));
/// assert!(!board.try_use(&holder, &small, later), "one statement at a time");
/// board.record_reply(&holder);
/// assert!(board.try_use(&holder, &small, later));
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct HolderBoard {
    /// Sorted by holder.
    skipped: Vec<SkippedHolder>,
    /// Sorted by holder and account.
    overloaded: Vec<OverloadedHolder>,
}

#[derive(Clone, Debug)]
struct SkippedHolder {
    holder: InstanceName,
    retry_at: Instant,
    pause: Duration,
    /// Whether a statement tries the holder after the pause.
    is_tried: bool,
    /// Whether the holder said that it is draining.
    is_draining: bool,
}

impl SkippedHolder {
    fn new(holder: &InstanceName, now: Instant, pause: Duration) -> Self {
        let holder = holder.clone();
        Self { holder, retry_at: now + pause, pause, is_tried: false, is_draining: false }
    }
}

#[derive(Clone, Debug)]
struct OverloadedHolder {
    holder: InstanceName,
    account: AccountName,
    retry_at: Instant,
}

impl HolderBoard {
    /// Whether a statement of `account` may be sent to `holder` now. If the holder was skipped until
    /// now, it is skipped again until the result of this statement is recorded or the pause is over.
    ///
    /// See the example of [`HolderBoard`].
    pub fn try_use(&mut self, holder: &InstanceName, account: &AccountName, now: Instant) -> bool {
        if let Ok(index) = self.find_overloaded(holder, account) {
            if now < self.overloaded[index].retry_at {
                return false;
            }
            self.overloaded.remove(index);
        }
        let Ok(index) = self.find_skipped(holder) else { return true };
        let skipped = &mut self.skipped[index];
        if now < skipped.retry_at {
            return false;
        }
        skipped.retry_at = now + skipped.pause;
        skipped.is_tried = true;
        true
    }

    /// Returns for how long a holder that can be reached, as far as is known, is skipped by `account`
    /// because it is overloaded; `None` if it is not.
    ///
    /// ```
    /// use rudder_decisions::HolderBoard;
    /// use std::time::{Duration, Instant};
    /// let now = Instant::now();
    /// let (holder, account) = ("entry-1".parse()?, "choirs".parse()?);
    /// let mut board = HolderBoard::default();
    /// board.record_overloaded(&holder, &account, now);
    /// assert_eq!(board.overloaded_for(&holder, &account, now), Some(Duration::from_millis(250)));
    /// board.record_unreachable(&holder, now);
    /// assert_eq!(board.overloaded_for(&holder, &account, now), None);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn overloaded_for(
        &self,
        holder: &InstanceName,
        account: &AccountName,
        now: Instant,
    ) -> Option<Duration> {
        if self.find_skipped(holder).is_ok() {
            return None;
        }
        let overloaded = &self.overloaded[self.find_overloaded(holder, account).ok()?];
        Some(overloaded.retry_at.saturating_duration_since(now)).filter(|pause| !pause.is_zero())
    }

    /// Records that the holder could not be reached, or did not respond.
    ///
    /// See the example of [`HolderBoard`].
    pub fn record_unreachable(&mut self, holder: &InstanceName, now: Instant) {
        match self.find_skipped(holder) {
            Ok(index) => {
                let skipped = &mut self.skipped[index];
                // Statements that were sent before the holder was skipped do not lengthen the pause.
                if skipped.is_tried {
                    let pause = (skipped.pause * 2).min(UNREACHABLE_PAUSE_MAX);
                    *skipped = SkippedHolder::new(holder, now, pause);
                }
            }
            Err(index) => {
                let skipped = SkippedHolder::new(holder, now, UNREACHABLE_PAUSE_MIN);
                self.skipped.insert(index, skipped);
            }
        }
    }

    /// Records that the holder is draining.
    ///
    /// ```
    /// use rudder_decisions::HolderBoard;
    /// use std::time::Instant;
    /// let now = Instant::now();
    /// let (holder, account) = ("entry-1".parse()?, "choirs".parse()?);
    /// let mut board = HolderBoard::default();
    /// board.record_draining(&holder, now);
    /// board.record_reply(&holder);
    /// assert!(!board.try_use(&holder, &account, now), "it only finished earlier work");
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn record_draining(&mut self, holder: &InstanceName, now: Instant) {
        let skipped =
            SkippedHolder { is_draining: true, ..SkippedHolder::new(holder, now, DRAINING_PAUSE) };
        match self.find_skipped(holder) {
            Ok(index) => self.skipped[index] = skipped,
            Err(index) => self.skipped.insert(index, skipped),
        }
    }

    /// Records that the holder declined a statement of `account` because it is overloaded.
    ///
    /// See the example of [`HolderBoard`].
    pub fn record_overloaded(
        &mut self,
        holder: &InstanceName,
        account: &AccountName,
        now: Instant,
    ) {
        let retry_at = now + OVERLOADED_PAUSE;
        match self.find_overloaded(holder, account) {
            Ok(index) => self.overloaded[index].retry_at = retry_at,
            Err(index) => {
                let (holder, account) = (holder.clone(), account.clone());
                self.overloaded.insert(index, OverloadedHolder { holder, account, retry_at });
            }
        }
    }

    /// Records that the holder served a statement: it is reachable.
    ///
    /// See the example of [`HolderBoard`].
    pub fn record_reply(&mut self, holder: &InstanceName) {
        if let Ok(index) = self.find_skipped(holder) {
            let skipped = &self.skipped[index];
            // A draining holder still responds to what it accepted before.
            if skipped.is_tried || !skipped.is_draining {
                self.skipped.remove(index);
            }
        }
    }

    /// Removes the state of instances that are not in the list any more, which is sorted.
    ///
    /// ```
    /// use rudder_decisions::HolderBoard;
    /// use std::time::Instant;
    /// let now = Instant::now();
    /// let (holder, account) = ("entry-1".parse()?, "choirs".parse()?);
    /// let mut board = HolderBoard::default();
    /// board.record_unreachable(&holder, now);
    /// board.retain_listed(&[]);
    /// assert!(board.try_use(&holder, &account, now));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn retain_listed(&mut self, listed: &[InstanceName]) {
        self.skipped.retain(|skipped| listed.binary_search(&skipped.holder).is_ok());
        self.overloaded.retain(|overloaded| listed.binary_search(&overloaded.holder).is_ok());
    }

    fn find_skipped(&self, holder: &InstanceName) -> Result<usize, usize> {
        self.skipped.binary_search_by(|skipped| skipped.holder.cmp(holder))
    }

    fn find_overloaded(
        &self,
        holder: &InstanceName,
        account: &AccountName,
    ) -> Result<usize, usize> {
        self.overloaded.binary_search_by(|overloaded| {
            overloaded.holder.cmp(holder).then_with(|| overloaded.account.cmp(account))
        })
    }
}
