//! Order in which members are tried for a read whose response itself shows whether it is fresh
//! enough.
//!
//! Load pattern: three copies of the data, one beside each instance, of which one or two lag for
//! seconds, are full, or have failed. A member that cannot serve the read costs a round trip and a
//! place in its queue, for each of hundreds of reads per second; a member that is farther away than
//! necessary costs bytes between domains. Without an order, all reads of a domain go to the near
//! member while it lags, and each of them is sent twice.
//!
//! There are no thresholds here: the caller decides which members count as recently failed, and for
//! how long. Criteria in order of precedence, each of which ranks a member behind those that it does
//! not apply to: the member cannot be reached, it lacks the position, it failed recently, it would
//! make the read wait. Distance decides only among members that are equal in all of these.
//!
//! Where instances share few connections to each member, reads of many instances meet at the near
//! primary, whose slots are then missing for what only it can serve. There, the statements in
//! flight at members of the same region decide before the distance; no read is sent to another
//! region because of them.

use crate::place::PlaceDistance;

/// Rank of a member for one read; the member with the least rank is tried first.
///
/// ```
/// use rudder_decisions::{PlaceDistance, ReadRank};
/// let near = ReadRank {
///     unreachable: false,
///     lagging: false,
///     recently_failed: false,
///     no_free_connection: false,
///     in_other_region: false,
///     in_flight: 0,
///     distance: PlaceDistance::SameDomain,
/// };
/// let trailing = ReadRank { lagging: true, ..near };
/// let far = ReadRank { distance: PlaceDistance::Elsewhere, ..near };
/// assert!(near < far && far < trailing);
/// assert!(far.is_eligible() && !trailing.is_eligible());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadRank {
    /// Whether the member was unreachable at a recent attempt.
    pub unreachable: bool,
    /// Whether the member recently lacked the position that the read needs.
    pub lagging: bool,
    /// Whether the member failed a read recently.
    pub recently_failed: bool,
    /// Whether no connection to the member is free.
    pub no_free_connection: bool,
    /// Whether the member is in another region; false where statements in flight do not count.
    pub in_other_region: bool,
    /// Statements of this instance in flight at the member; 0 where they do not count.
    pub in_flight: u32,
    /// Distance to the member.
    pub distance: PlaceDistance,
}

impl ReadRank {
    /// Whether the member is expected to serve the read.
    ///
    /// See the example of [`ReadRank`].
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        !self.unreachable && !self.lagging && !self.recently_failed
    }
}
