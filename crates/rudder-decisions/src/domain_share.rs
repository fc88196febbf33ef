//! How many connections to a member each instance may hold.
//!
//! Load pattern: callers of a failure domain read at the member of that domain; writes and strict
//! reads of all domains go to the primary. Each domain has about as many callers, however few
//! instances serve them. Equal shares leave most connections of a replica with instances that
//! hardly use them, while the instances beside it refuse callers, and starve the one instance of a
//! small domain. Shares that are rounded down leave up to one connection for each instance to
//! nobody: of 18, seven, with four instances refusing callers at one each.
//!
//! So each instance has one, the rest goes to domains by distance, closer together at the primary,
//! and is dealt among the instances of each; what rounding leaves goes to those that it took most
//! from. The shares add up to just what the member takes, as each instance works them out from the
//! same list, unless there are more instances than connections: then each may hold one, and gives
//! it up when it is not in use.

use crate::place::{PlaceDistance, SeatPlace};
use rudder_core::{InstanceName, MemberName};
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// Parts of the member's own failure domain.
const NEAR_WEIGHT: u64 = 6;

/// Parts of a domain in the member's region.
const REGION_WEIGHT: u64 = 4;

/// Parts of a domain elsewhere: enough for reads that find nearer members too far behind.
const FAR_WEIGHT: u64 = 2;

/// Parts at the primary of a domain elsewhere: it writes and reads strictly there.
const FAR_PRIMARY_WEIGHT: u64 = 4;

/// Connections left free for changes of the primary and for watching it: about one for each
/// instance that reads the store for all, of which there are three to seven.
const RESERVE: u32 = 4;

/// An instance that takes part in the division, and where it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareHolder {
    /// The instance.
    pub instance: InstanceName,
    /// Its place.
    pub place: SeatPlace,
}

/// What a share depends on.
#[derive(Clone, Debug)]
pub struct DomainShareInput<'a> {
    /// Connections that the member takes from all.
    pub connections_max: u32,
    /// The member.
    pub member: &'a MemberName,
    /// Where the member is.
    pub place: &'a SeatPlace,
    /// The instance whose share is asked for.
    pub own: &'a InstanceName,
    /// All instances, this one included.
    pub all: &'a [ShareHolder],
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
    /// use rudder_decisions::{DomainShare, DomainShareInput, SeatPlace, ShareHolder};
    /// let place = SeatPlace { domain: "kigali-a".parse()?, region: "kigali".to_owned() };
    /// let holder = |name: &str| ShareHolder {
    ///     instance: name.parse().expect("a name"),
    ///     place: place.clone(),
    /// };
    /// let all = [holder("entry-1"), holder("entry-2")];
    /// let input = DomainShareInput {
    ///     connections_max: 38,
    ///     member: &"db-1".parse()?,
    ///     place: &place,
    ///     own: &all[0].instance,
    ///     all: &all,
    ///     is_primary: true,
    /// };
    /// assert_eq!(DomainShare::of(&input).limit, 17);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn of(input: &DomainShareInput<'_>) -> Self {
        let free = input.connections_max.saturating_sub(RESERVE);
        let count = u32::try_from(input.all.len()).unwrap_or(u32::MAX);
        let Some(rest) = free.checked_sub(count) else {
            return Self { limit: 1, scarce: true };
        };
        let quotas = quotas_of(input, rest);
        let Some(own) = quotas.iter().find(|quota| quota.instance == input.own) else {
            return Self { limit: 1, scarce: false };
        };
        let dealt: u64 = quotas.iter().map(|quota| quota.whole).sum();
        let left = u64::from(rest).saturating_sub(dealt);
        let ahead = quotas.iter().filter(|quota| quota.order() < own.order()).count();
        let extra = u64::from((ahead as u64) < left);
        let limit = 1 + u32::try_from(own.whole + extra).unwrap_or(u32::MAX - 1);
        Self { limit, scarce: false }
    }
}

/// What one instance is due, in whole connections and in parts of one.
struct ShareQuota<'a> {
    instance: &'a InstanceName,
    whole: u64,
    part: u64,
    draw: u64,
}

impl ShareQuota<'_> {
    /// Who gets a connection that rounding left: whom it took most from, and among equals by a draw
    /// that comes out differently for each member.
    fn order(&self) -> (Reverse<u64>, u64) {
        (Reverse(self.part), self.draw)
    }
}

/// A whole connection in the parts that quotas are compared by.
const PARTS: u64 = 1_000_000;

fn quotas_of<'a>(input: &'a DomainShareInput<'_>, rest: u32) -> Vec<ShareQuota<'a>> {
    let weight = |place: &SeatPlace| weight_of(place, input.place, input.is_primary);
    let mut domains: Vec<(&SeatPlace, u64)> = Vec::new();
    for holder in input.all {
        match domains.iter_mut().find(|(known, _)| known.domain == holder.place.domain) {
            Some((_, neighbours)) => *neighbours += 1,
            None => domains.push((&holder.place, 1)),
        }
    }
    let weights: u64 = domains.iter().map(|(place, _)| weight(place)).sum();
    let quota = |holder: &'a ShareHolder| {
        let found = domains.iter().find(|(place, _)| place.domain == holder.place.domain);
        let neighbours = found.map_or(1, |(_, neighbours)| *neighbours);
        let due = u64::from(rest) * PARTS * weight(&holder.place) / (weights * neighbours).max(1);
        ShareQuota {
            instance: &holder.instance,
            whole: due / PARTS,
            part: due % PARTS,
            draw: xxh3_64(format!("{}/{}", input.member, holder.instance).as_bytes()),
        }
    };
    input.all.iter().map(quota).collect()
}

fn weight_of(place: &SeatPlace, member: &SeatPlace, is_primary: bool) -> u64 {
    match place.distance(member) {
        PlaceDistance::SameDomain => NEAR_WEIGHT,
        _ if is_primary => FAR_PRIMARY_WEIGHT,
        PlaceDistance::SameRegion => REGION_WEIGHT,
        PlaceDistance::Elsewhere => FAR_WEIGHT,
    }
}
