//! Where instances and members are, and how far apart.

use rudder_core::DomainName;

/// Where an instance or a member is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodePlace {
    /// Its failure domain.
    pub domain: DomainName,
    /// The region of that domain.
    pub region: String,
}

/// How far apart two places are, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlaceDistance {
    /// In one failure domain.
    SameDomain,
    /// In two domains of one region.
    SameRegion,
    /// In two regions.
    Elsewhere,
}

impl NodePlace {
    /// How far it is to another place.
    ///
    /// ```
    /// use rudder_decisions::{PlaceDistance, NodePlace};
    /// let kigali = NodePlace { domain: "kigali-a".parse()?, region: "kigali".to_owned() };
    /// let nairobi = NodePlace { domain: "nairobi-a".parse()?, region: "nairobi".to_owned() };
    /// assert_eq!(kigali.distance(&nairobi), PlaceDistance::Elsewhere);
    /// assert!(kigali.distance(&kigali) < kigali.distance(&nairobi));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn distance(&self, other: &Self) -> PlaceDistance {
        if self.domain == other.domain {
            PlaceDistance::SameDomain
        } else if self.region == other.region {
            PlaceDistance::SameRegion
        } else {
            PlaceDistance::Elsewhere
        }
    }
}
