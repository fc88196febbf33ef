//! Locations of instances and members, and the distance between them.

use rudder_core::DomainName;

/// Location of an instance or a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodePlace {
    /// Failure domain.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: String,
}

/// Distance between two locations, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlaceDistance {
    /// In the same failure domain.
    SameDomain,
    /// In two failure domains of the same region.
    SameRegion,
    /// In two regions.
    Elsewhere,
}

impl NodePlace {
    /// Returns the distance to another location.
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
