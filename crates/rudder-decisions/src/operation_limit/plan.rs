//! Which owner is asked next for an operation, and which ones are passed over.

use std::time::Duration;

/// How far behind the first one the owners stand that are asked after it, in a circle.
const RETRY_OFFSETS: [usize; 4] = [1, 0, 1, 2];

/// The order in which the owners of an account are asked for one operation.
///
/// The first one is asked twice, as a datagram may be lost; then all are asked by turns, as the next
/// one grants only once it has found the first one silent.
///
/// ```
/// use rudder_decisions::ClaimPlan;
/// let plan = ClaimPlan::new(&[false, false, false]);
/// assert_eq!(plan.take(6).collect::<Vec<_>>(), [0, 0, 1, 0, 1, 2]);
/// let plan = ClaimPlan::new(&[true, false, false]);
/// assert_eq!(plan.take(6).collect::<Vec<_>>(), [1, 1, 2, 1, 2, 0]);
/// ```
#[derive(Clone, Debug)]
pub struct ClaimPlan {
    first: usize,
    count: usize,
    step: usize,
}

impl ClaimPlan {
    /// A plan for owners of whom some are passed over at first.
    ///
    /// See the example of [`ClaimPlan`].
    #[must_use]
    pub fn new(silent: &[bool]) -> Self {
        let first = silent.iter().position(|silent| !silent).unwrap_or(0);
        Self { first, count: silent.len(), step: 0 }
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
        if step < 2 {
            return Some(self.first);
        }
        let offset = RETRY_OFFSETS[(step - 2) % RETRY_OFFSETS.len()];
        Some((self.first + offset) % self.count)
    }
}

/// Names that something was noted of a moment ago, sorted: owners that did not answer, and accounts
/// whose claims nobody answered.
///
/// ```
/// use rudder_core::InstanceName;
/// use rudder_decisions::RecentNotes;
/// use std::time::Duration;
/// let owner: InstanceName = "entry-1".parse()?;
/// let mut recent = RecentNotes::new(Duration::from_secs(1));
/// recent.note(&owner, Duration::ZERO);
/// assert!(recent.contains(&owner, Duration::from_millis(500)));
/// assert!(!recent.contains(&owner, Duration::from_millis(1500)));
/// recent.forget(&owner);
/// assert!(!recent.contains(&owner, Duration::from_millis(500)));
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug)]
pub struct RecentNotes<N> {
    retention: Duration,
    entries: Vec<(N, Duration)>,
}

impl<N: Ord + Clone> RecentNotes<N> {
    /// Notes that hold for `retention`.
    ///
    /// See the example of [`RecentNotes`].
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { retention, entries: Vec::new() }
    }

    /// Takes in a note.
    ///
    /// See the example of [`RecentNotes`].
    pub fn note(&mut self, name: &N, now: Duration) {
        self.entries.retain(|(_, expires_at)| now < *expires_at);
        let expires_at = now + self.retention;
        match self.entries.binary_search_by(|(known, _)| known.cmp(name)) {
            Ok(index) => self.entries[index].1 = expires_at,
            Err(index) => self.entries.insert(index, (name.clone(), expires_at)),
        }
    }

    /// Takes a note back.
    ///
    /// See the example of [`RecentNotes`].
    pub fn forget(&mut self, name: &N) {
        self.entries.retain(|(known, _)| known != name);
    }

    /// Whether something was noted.
    ///
    /// See the example of [`RecentNotes`].
    #[must_use]
    pub fn contains(&self, name: &N, now: Duration) -> bool {
        let found = self.entries.binary_search_by(|(known, _)| known.cmp(name));
        found.is_ok_and(|index| now < self.entries[index].1)
    }
}
