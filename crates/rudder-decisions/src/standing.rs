//! Which member a read is offered first, where answers are checked in band.
//!
//! Load pattern: three copies of the data, one beside each instance, of which one or two trail for
//! seconds, are full, or are gone. A member that is chosen in vain costs a round trip and a place in
//! its queue, for each of hundreds of reads a second; one that is farther away than need be costs
//! bytes between domains. Without an order all reads of a domain go to the near member while it
//! trails, and every one of them is asked twice.
//!
//! There are no thresholds here: what makes a member doubtful and for how long is the caller's to
//! say. The order is of certainty: what cannot answer at all, what will say that it lacks the
//! position, what failed lately, what would make the read wait, and only then the distance.

use crate::place::PlaceDistance;

/// How a member stands for one read; the least is tried first.
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
    /// It could not be reached a moment ago.
    pub unreachable: bool,
    /// It was seen a moment ago without the position that the read needs.
    pub behind: bool,
    /// It failed a read lately.
    pub doubtful: bool,
    /// No connection to it is free.
    pub full: bool,
    /// How far away it is.
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
