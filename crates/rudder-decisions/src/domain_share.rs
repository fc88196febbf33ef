//! How many connections to a member each instance may hold.
//!
//! Load pattern: callers of a failure domain read at the member of that domain; writes and strict
//! reads of all domains go to the primary. Each domain has about as many callers, however few
//! instances serve them. Equal shares leave most connections of a replica with instances that
//! hardly use them, while the instances beside it refuse callers, and starve the one instance of a
//! small domain. So the parts go to domains, by distance, closer together at the primary, and are
//! dealt among the instances of each. They never add up to more than the member takes, as each
//! instance works them out from the same list, unless there are more instances than connections:
//! then each may hold one, and gives it up when it is not in use.

use crate::place::{PlaceDistance, SeatPlace};

/// Parts of the member's own failure domain.
const NEAR_WEIGHT: u32 = 6;

/// Parts of a domain in the member's region.
const REGION_WEIGHT: u32 = 4;

/// Parts of a domain elsewhere: enough for reads that find nearer members too far behind.
const FAR_WEIGHT: u32 = 2;

/// Parts at the primary of a domain elsewhere: it writes and reads strictly there.
const FAR_PRIMARY_WEIGHT: u32 = 4;

/// Connections left free for changes of the primary and for watching it: about one for each
/// instance that reads the store for all, of which there are three to seven.
const RESERVE: u32 = 4;

/// What a share depends on.
#[derive(Clone, Debug)]
pub struct DomainShareInput<'a> {
    /// Connections that the member takes from all.
    pub connections_max: u32,
    /// Where the member is.
    pub member: SeatPlace,
    /// Where this instance is.
    pub own: SeatPlace,
    /// Where all instances are, this one included.
    pub all: &'a [SeatPlace],
    /// Whether the member is the primary.
    pub is_primary: bool,
}

/// The connections of one instance to one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainShare {
    /// How many it may hold.
    pub limit: u32,
    /// Whether there are fewer than instances, so that idle ones must be given up.
    pub scarce: bool,
}

impl DomainShare {
    /// The connections that an instance may hold; at least one.
    ///
    /// ```
    /// use rudder_decisions::{DomainShare, DomainShareInput, SeatPlace};
    /// let place = SeatPlace { domain: "kigali-a".parse()?, region: "kigali".to_owned() };
    /// let all = [place.clone(), place.clone()];
    /// let input = DomainShareInput {
    ///     connections_max: 38,
    ///     member: place.clone(),
    ///     own: place,
    ///     all: &all,
    ///     is_primary: true,
    /// };
    /// assert_eq!(DomainShare::of(&input).limit, 17);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn of(input: &DomainShareInput<'_>) -> Self {
        let free = input.connections_max.saturating_sub(RESERVE);
        let weight = |place: &SeatPlace| weight_of(place, &input.member, input.is_primary);
        let mut domains: Vec<&SeatPlace> = Vec::new();
        for place in input.all {
            if !domains.iter().any(|known| known.domain == place.domain) {
                domains.push(place);
            }
        }
        let parts: u32 = domains.into_iter().map(weight).sum();
        let neighbours = input.all.iter().filter(|place| place.domain == input.own.domain).count();
        let neighbours = u32::try_from(neighbours).unwrap_or(u32::MAX);
        let limit = free * weight(&input.own) / parts.max(1) / neighbours.max(1);
        Self { limit: limit.max(1), scarce: limit == 0 }
    }
}

fn weight_of(place: &SeatPlace, member: &SeatPlace, is_primary: bool) -> u32 {
    match place.distance(member) {
        PlaceDistance::SameDomain => NEAR_WEIGHT,
        _ if is_primary => FAR_PRIMARY_WEIGHT,
        PlaceDistance::SameRegion => REGION_WEIGHT,
        PlaceDistance::Elsewhere => FAR_WEIGHT,
    }
}
