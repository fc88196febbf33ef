//! Members that a report of spare connections is about.

use std::ops::Range;

/// Maximum number of members in a report, so that it fits a packet.
const REPORTED_MEMBERS_MAX: usize = 64;

/// Chooses the members that the next report is about.
///
/// Load pattern: an instance could lend connections to nearly all members of a fleet with thousands
/// of them, nobody needs most of these, and every instance of a failure domain works through the
/// reports of all others. With more members than fit a report, each report is therefore about the
/// next ones in turn. The instances begin at different ones, so that for each member some lenders
/// are known at any time.
///
/// ```
/// use rudder_decisions::ReportRotation;
/// let mut rotation = ReportRotation::new(100);
/// assert_eq!(rotation.next(24), [0..24, 24..24]);
/// let mut rotation = ReportRotation::new(100);
/// assert_eq!(rotation.next(150), [100..150, 0..14]);
/// assert_eq!(rotation.next(150), [14..78, 0..0]);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportRotation {
    next: u64,
}

impl ReportRotation {
    /// Creates a rotation that begins at a position that `own_seed` determines.
    ///
    /// See the example of [`ReportRotation`].
    #[must_use]
    pub fn new(own_seed: u64) -> Self {
        Self { next: own_seed }
    }

    /// Returns whether a report is about some of the members only.
    ///
    /// ```
    /// use rudder_decisions::ReportRotation;
    /// assert!(ReportRotation::is_partial(65) && !ReportRotation::is_partial(64));
    /// ```
    #[must_use]
    pub fn is_partial(members: usize) -> bool {
        members > REPORTED_MEMBERS_MAX
    }

    /// Returns the positions of the members that the next report is about, and advances.
    ///
    /// See the example of [`ReportRotation`].
    pub fn next(&mut self, members: usize) -> [Range<usize>; 2] {
        if !Self::is_partial(members) {
            return [0..members, members..members];
        }
        let start = usize::try_from(self.next % members as u64).unwrap_or(0);
        let end = start + REPORTED_MEMBERS_MAX;
        self.next = end as u64;
        [start..end.min(members), 0..end.saturating_sub(members)]
    }
}
