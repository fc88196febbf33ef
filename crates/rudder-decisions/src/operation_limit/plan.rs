//! Order in which an instance sends a claim to the owners of an account.

use std::time::Duration;

/// Offsets, modulo the number of owners, from the first owner to those that get the claim after it.
const RETRY_OFFSETS: [usize; 4] = [1, 0, 1, 2];

/// Iterator over the owners that get the claim of one operation, in order.
///
/// The first owner gets the claim twice, as a datagram may be lost. Then all owners get it in turn,
/// as the next owner grants only once it has detected that the first one is silent.
///
/// ```
/// use rudder_decisions::ClaimPlan;
/// let plan = ClaimPlan::new(&[false, false, false]);
/// assert_eq!(plan.take(6).collect::<Vec<_>>(), [0, 0, 1, 0, 1, 2]);
/// let plan = ClaimPlan::new(&[true, false, false]);
/// assert_eq!(plan.take(6).collect::<Vec<_>>(), [1, 1, 2, 1, 2, 0]);
/// ```
///
/// If the first owner is in doubt, because a recent claim got no response from it, the next owner
/// gets the claim at the same time. Both may grant it, but the operation runs once: the limit is not
/// exceeded, and at most one token is lost.
///
/// ```
/// use rudder_decisions::ClaimPlan;
/// let mut plan = ClaimPlan::with_doubt(&[false, false, false], &[true, false, false]);
/// assert_eq!((plan.next(), plan.is_hedged()), (Some(0), true));
/// assert_eq!((plan.next(), plan.is_hedged()), (Some(1), false));
/// assert_eq!(plan.take(4).collect::<Vec<_>>(), [0, 1, 2, 1]);
/// ```
#[derive(Clone, Debug)]
pub struct ClaimPlan {
    first: usize,
    count: usize,
    step: usize,
    is_doubtful: bool,
}

impl ClaimPlan {
    /// Creates a plan that starts at the first owner that is not marked as silent.
    ///
    /// See the example of [`ClaimPlan`].
    #[must_use]
    pub fn new(silent: &[bool]) -> Self {
        let first = silent.iter().position(|silent| !silent).unwrap_or(0);
        Self { first, count: silent.len(), step: 0, is_doubtful: false }
    }

    /// Creates a plan that sends the claim to two owners at once if the first one is in doubt.
    ///
    /// See the example of [`ClaimPlan`].
    #[must_use]
    pub fn with_doubt(silent: &[bool], doubtful: &[bool]) -> Self {
        let plan = Self::new(silent);
        let is_doubtful = doubtful.get(plan.first) == Some(&true) && plan.count > 1;
        Self { is_doubtful, ..plan }
    }

    /// Whether the claim is to be sent to the next owner at once, without waiting for the response
    /// of the one that was returned last.
    ///
    /// See the example of [`ClaimPlan`].
    #[must_use]
    pub fn is_hedged(&self) -> bool {
        self.is_doubtful && self.step == 1
    }
}

impl Iterator for ClaimPlan {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        if self.count == 0 {
            return None;
        }
        let step = self.step;
        self.step += 1;
        let offset = match (self.is_doubtful, step) {
            (_, 0) | (false, 1) => 0,
            (false, _) => RETRY_OFFSETS[(step - 2) % RETRY_OFFSETS.len()],
            (true, _) => RETRY_OFFSETS[(step - 1) % RETRY_OFFSETS.len()],
        };
        Some((self.first + offset) % self.count)
    }
}

/// Names that expire after a fixed time, sorted: owners that did not respond, and accounts whose
/// claims got no response.
///
/// ```
/// use rudder_core::InstanceName;
/// use rudder_decisions::ExpiringSet;
/// use std::time::Duration;
/// let owner: InstanceName = "entry-1".parse()?;
/// let mut recent = ExpiringSet::new(Duration::from_secs(1));
/// recent.insert(&owner, Duration::ZERO);
/// assert!(recent.contains(&owner, Duration::from_millis(500)));
/// assert!(!recent.contains(&owner, Duration::from_millis(1500)));
/// recent.remove(&owner);
/// assert!(!recent.contains(&owner, Duration::from_millis(500)));
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug)]
pub struct ExpiringSet<N> {
    retention: Duration,
    entries: Vec<(N, Duration)>,
}

impl<N: Ord + Clone> ExpiringSet<N> {
    /// Creates an empty set whose names expire after `retention`.
    ///
    /// See the example of [`ExpiringSet`].
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { retention, entries: Vec::new() }
    }

    /// Adds a name or renews its expiry.
    ///
    /// See the example of [`ExpiringSet`].
    pub fn insert(&mut self, name: &N, now: Duration) {
        self.entries.retain(|(_, expires_at)| now < *expires_at);
        let expires_at = now + self.retention;
        match self.entries.binary_search_by(|(known, _)| known.cmp(name)) {
            Ok(index) => self.entries[index].1 = expires_at,
            Err(index) => self.entries.insert(index, (name.clone(), expires_at)),
        }
    }

    /// Removes a name.
    ///
    /// See the example of [`ExpiringSet`].
    pub fn remove(&mut self, name: &N) {
        self.entries.retain(|(known, _)| known != name);
    }

    /// Whether the set holds a name that has not expired.
    ///
    /// See the example of [`ExpiringSet`].
    #[must_use]
    pub fn contains(&self, name: &N, now: Duration) -> bool {
        let found = self.entries.binary_search_by(|(known, _)| known.cmp(name));
        found.is_ok_and(|index| now < self.entries[index].1)
    }
}
