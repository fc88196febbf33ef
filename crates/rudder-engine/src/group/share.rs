//! How many connections to a member each instance may hold.
//!
//! Load pattern: callers of a failure domain read at the member of that domain; writes and strict
//! reads of all domains go to the primary. Equal shares leave most connections of a replica with
//! instances that hardly use them, while the instances beside it refuse callers. So an instance
//! in the member's own domain has [`NEAR_WEIGHT`] parts, any other one [`FAR_WEIGHT`]; at the
//! primary the parts are closer together. The parts never add up to more than the member takes,
//! as each instance works them out from the same list.

/// Parts of an instance in the member's failure domain.
const NEAR_WEIGHT: u32 = 5;

/// Parts of an instance elsewhere: enough for reads that find the near member too far behind.
const FAR_WEIGHT: u32 = 2;

/// Parts at the primary of an instance elsewhere: it writes and reads strictly there.
const FAR_PRIMARY_WEIGHT: u32 = 4;

/// Connections left free for the watch of a primary and for the change of one: one each for the
/// instances that may try it at the same time.
const RESERVE: u32 = 2;

/// What a share depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShareInput {
    /// Connections that the member takes from all.
    pub(crate) connections_max: u32,
    /// Instances in the member's failure domain.
    pub(crate) near: u32,
    /// Instances elsewhere.
    pub(crate) far: u32,
    /// Whether this instance is in the member's domain.
    pub(crate) is_near: bool,
    /// Whether the member is the primary, where each instance also holds a connection to watch it.
    pub(crate) is_primary: bool,
}

/// The connections that this instance may hold; at least one.
pub(crate) fn connection_share(input: ShareInput) -> u32 {
    let watches = if input.is_primary { input.near + input.far } else { 0 };
    let free = input.connections_max.saturating_sub(RESERVE + watches);
    let far_weight = if input.is_primary { FAR_PRIMARY_WEIGHT } else { FAR_WEIGHT };
    let parts = input.near * NEAR_WEIGHT + input.far * far_weight;
    let weight = if input.is_near { NEAR_WEIGHT } else { far_weight };
    (free * weight / parts.max(1)).max(1)
}
