//! Instances as their peers know them.

use displaydoc::Display;
use rudder_core::{DomainName, InstanceName, ParseError, plain_data};
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// The number of one life of an instance; the greater one supersedes what was said of the lesser.
///
/// It starts as the time of the instance's start in milliseconds since 1970 and grows by one with
/// each refutation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation that supersedes this one.
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

/// What is held of an instance. Of one incarnation, the later state in this order wins.
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
    /// One instance as its peers know it.
    pub struct PeerEntry {
        /// The instance's name.
        pub name: InstanceName,
        /// Where it listens for peers, over UDP and TCP alike.
        pub address: SocketAddr,
        /// The failure domain that it stands in.
        pub domain: DomainName,
        /// The life of the instance that this entry speaks of.
        pub incarnation: Incarnation,
        /// Its state. Entries handed out by the mesh are never `Removed`.
        pub state: PeerState,
    }
}

impl PeerEntry {
    /// Whether this entry supersedes `other`, which speaks of the same instance.
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

    /// Whether the instance may be given new duties: it is neither leaving nor gone.
    ///
    /// A suspect instance counts, so that one lost heartbeat moves no duties.
    #[must_use]
    pub(crate) fn takes_duties(&self) -> bool {
        self.state <= PeerState::Suspect
    }
}
