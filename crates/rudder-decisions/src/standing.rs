//! Order in which members are tried for a read whose response itself shows whether it is fresh
//! enough.
//!
//! Load pattern: three copies of the data, one beside each instance, of which one or two lag for
//! seconds, are full, or have failed. A member that cannot serve the read costs a round trip and a
//! place in its queue, for each of hundreds of reads per second; a member that is farther away than
//! necessary costs bytes between domains. Without an order, all reads of a domain go to the near
//! member while it lags, and each of them is sent twice.
//!
//! There are no thresholds here: the caller decides what makes a member doubtful and for how long.
//! The order is by certainty: members that cannot be reached, members that lack the position,
//! members that failed recently, members that would make the read wait, and only then the distance.

use crate::place::PlaceDistance;

/// Rank of a member for one read; the member with the least rank is tried first.
///
/// ```
/// use rudder_decisions::{PlaceDistance, ReadStanding};
/// let near = ReadStanding {
///     unreachable: false,
///     behind: false,
///     doubtful: false,
///     full: false,
///     distance: PlaceDistance::SameDomain,
/// };
/// let trailing = ReadStanding { behind: true, ..near };
/// let far = ReadStanding { distance: PlaceDistance::Elsewhere, ..near };
/// assert!(near < far && far < trailing);
/// assert!(far.is_sound() && !trailing.is_sound());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadStanding {
    /// Whether the member was unreachable at a recent attempt.
    pub unreachable: bool,
    /// Whether the member recently lacked the position that the read needs.
    pub behind: bool,
    /// Whether the member failed a read recently.
    pub doubtful: bool,
    /// Whether no connection to the member is free.
    pub full: bool,
    /// Distance to the member.
    pub distance: PlaceDistance,
}

impl ReadStanding {
    /// Whether the member is expected to serve the read.
    ///
    /// See the example of [`ReadStanding`].
    #[must_use]
    pub fn is_sound(&self) -> bool {
        !self.unreachable && !self.behind && !self.doubtful
    }
}
