//! Members that a report of spare connections, or a pass over the loans, covers.

use std::ops::Range;

/// Maximum number of members at a time, so that a report fits a packet.
const MEMBERS_MAX: usize = 64;

/// Chooses the members that the next report, or the next pass over the loans, covers.
///
/// Load pattern: an instance could lend connections to nearly all members of a fleet with thousands
/// of them, nobody needs most of these, and the instances of a failure domain work through the reports
/// of each other. With more members than fit a report, each report therefore covers the next ones in
/// turn. The instances begin at different ones, so that for each member some lenders are known at any
/// time.
///
/// ```
/// use rudder_decisions::MemberRotation;
/// let mut rotation = MemberRotation::new(100);
/// assert_eq!(rotation.next(24), [0..24, 24..24]);
/// let mut rotation = MemberRotation::new(100);
/// assert_eq!(rotation.next(150), [100..150, 0..14]);
/// assert_eq!(rotation.next(150), [14..78, 0..0]);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberRotation {
    next: u64,
}

impl MemberRotation {
    /// Creates a rotation that begins at a position that `own_seed` determines.
    ///
    /// See the example of [`MemberRotation`].
    #[must_use]
    pub fn new(own_seed: u64) -> Self {
        Self { next: own_seed }
    }

    /// Returns whether some of the members are covered at a time.
    ///
    /// ```
    /// use rudder_decisions::MemberRotation;
    /// assert!(MemberRotation::is_partial(65) && !MemberRotation::is_partial(64));
    /// ```
    #[must_use]
    pub fn is_partial(members: usize) -> bool {
        members > MEMBERS_MAX
    }

    /// Returns the positions of the members that are covered next, and advances.
    ///
    /// See the example of [`MemberRotation`].
    pub fn next(&mut self, members: usize) -> [Range<usize>; 2] {
        if !Self::is_partial(members) {
            return [0..members, members..members];
        }
        let start = usize::try_from(self.next % members as u64).unwrap_or(0);
        let end = start + MEMBERS_MAX;
        self.next = end as u64;
        [start..end.min(members), 0..end.saturating_sub(members)]
    }
}
