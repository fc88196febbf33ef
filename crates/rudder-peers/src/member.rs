//! Description of an instance as its peers know it.

use displaydoc::Display;
use rudder_core::{DomainName, InstanceName, ParseError, plain_data};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Number that identifies one run of an instance. Information about a greater incarnation
/// supersedes information about a smaller one.
///
/// The initial value is the start time of the instance in milliseconds since 1970; each refutation
/// increases it by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the next incarnation, which supersedes this one.
    ///
    /// ```
    /// use rudder_peers::Incarnation;
    /// assert_eq!(Incarnation(4).next(), Incarnation(5));
    /// ```
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Incarnation {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let refusal =
            |_| ParseError::Number { what: "incarnation", text: text.chars().take(40).collect() };
        text.parse().map(Self).map_err(refusal)
    }
}

/// State of an instance. Within one incarnation, the later state in this order wins.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerState {
    /// live
    Live,
    /// suspect
    Suspect,
    /// leaving
    Leaving,
    /// gone
    Removed,
}

plain_data! {
    /// An instance as its peers know it.
    pub struct PeerEntry {
        /// Name of the instance.
        pub name: InstanceName,
        /// Address at which it listens for peers, over both UDP and TCP.
        pub address: SocketAddr,
        /// Failure domain of the instance.
        pub domain: DomainName,
        /// Incarnation of the instance that this entry describes.
        pub incarnation: Incarnation,
        /// State of the instance. Entries returned by the mesh are never `Removed`.
        pub state: PeerState,
    }
}

impl PeerEntry {
    /// Whether this entry supersedes `other`, which describes the same instance.
    ///
    /// ```
    /// use rudder_peers::{Incarnation, PeerEntry, PeerState};
    /// let live = PeerEntry {
    ///     name: "i1".parse()?,
    ///     address: ([127, 0, 0, 1], 7000).into(),
    ///     domain: "bangor".parse()?,
    ///     incarnation: Incarnation(1),
    ///     state: PeerState::Live,
    /// };
    /// let leaving = PeerEntry { state: PeerState::Leaving, ..live.clone() };
    /// let restarted = PeerEntry { incarnation: Incarnation(2), ..live.clone() };
    /// assert!(leaving.supersedes(&live));
    /// assert!(!live.supersedes(&leaving));
    /// assert!(restarted.supersedes(&leaving));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }

    /// Whether the instance may be assigned duties, that is, it is neither leaving nor removed.
    ///
    /// Suspect instances are included, so that one lost heartbeat reassigns no duties.
    #[must_use]
    pub(crate) fn takes_duties(&self) -> bool {
        self.state <= PeerState::Suspect
    }
}
