//! Role of an instance in counting an account's operations.

use super::watch::OwnerState;
use std::time::Duration;

/// How long an earlier owner has to be silent before its successor grants provisionally: longer
/// than the response time of a slow machine in another region.
const PROVISIONAL_AFTER: Duration = Duration::from_millis(200);

/// How long an earlier owner has to be silent before its successor grants in full. An owner that is
/// cut off stops granting earlier: [`super::LimitBounds::contact_timeout`] after its last contact with the
/// fleet.
pub(super) const FULL_AFTER: Duration = Duration::from_millis(1900);

/// How long an owner that is cut off may grant the content of its bucket. Its successor grants no
/// burst before, as both bursts could fall into one window.
pub(super) const DETACHED_BURST_TIME: Duration = Duration::from_millis(3000);

/// Role of an instance for an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerRole {
    /// Another instance is the owner.
    Absent,
    /// This instance may be cut off, and another owner may grant elsewhere: it grants the content
    /// of its bucket and little more.
    Detached,
    /// An earlier owner has recently become silent: this instance grants part of the permitted
    /// excess over the limit.
    Provisional,
    /// This instance is the owner, but an earlier one may still grant the content of its bucket:
    /// this instance grants the rate without the burst.
    Successor,
    /// This instance is the owner.
    Full,
    /// This instance is the owner, and no other instance can have granted for a whole window.
    Settled,
}

/// Contact of an instance with the rest of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetContact {
    /// No contact within [`super::LimitBounds::contact_timeout`].
    Lost,
    /// Contact within [`super::LimitBounds::contact_timeout`].
    Connected,
    /// Uninterrupted contact for a whole window.
    Settled,
}

impl OwnerRole {
    /// Returns the role of an instance, given its contact with the fleet and the states of the
    /// owners that precede it.
    ///
    /// ```
    /// use rudder_decisions::{FleetContact, OwnerRole, OwnerState};
    /// use std::time::Duration;
    /// let silent = |ms| OwnerState::SilentFor(Duration::from_millis(ms));
    /// assert_eq!(OwnerRole::of(FleetContact::Settled, &[]), OwnerRole::Settled);
    /// let connected = FleetContact::Connected;
    /// assert_eq!(OwnerRole::of(connected, &[]), OwnerRole::Full);
    /// assert_eq!(OwnerRole::of(connected, &[OwnerState::Granting]), OwnerRole::Absent);
    /// assert_eq!(OwnerRole::of(connected, &[silent(300)]), OwnerRole::Provisional);
    /// assert_eq!(OwnerRole::of(connected, &[silent(1900)]), OwnerRole::Successor);
    /// let earlier = [silent(5000), OwnerState::NotGranting];
    /// assert_eq!(OwnerRole::of(connected, &earlier), OwnerRole::Full);
    /// assert_eq!(OwnerRole::of(FleetContact::Lost, &[]), OwnerRole::Detached);
    /// ```
    #[must_use]
    pub fn of(contact: FleetContact, earlier: &[OwnerState]) -> Self {
        let role = |state: &OwnerState| match state {
            OwnerState::Granting => Self::Absent,
            OwnerState::NotGranting => Self::Full,
            OwnerState::SilentFor(time) if *time >= FULL_AFTER + DETACHED_BURST_TIME => Self::Full,
            OwnerState::SilentFor(time) if *time >= FULL_AFTER => Self::Successor,
            OwnerState::SilentFor(time) if *time >= PROVISIONAL_AFTER => Self::Provisional,
            OwnerState::SilentFor(_) => Self::Absent,
        };
        let roles: Vec<Self> = earlier.iter().map(role).collect();
        if roles.contains(&Self::Absent) {
            return Self::Absent;
        }
        match contact {
            FleetContact::Lost => Self::Detached,
            _ if roles.contains(&Self::Provisional) => Self::Provisional,
            _ if roles.contains(&Self::Successor) => Self::Successor,
            FleetContact::Settled if earlier.is_empty() => Self::Settled,
            FleetContact::Settled | FleetContact::Connected => Self::Full,
        }
    }
}
