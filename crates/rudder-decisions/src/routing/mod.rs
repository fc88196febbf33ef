//! Choice of the member that serves a read.

mod demand;
mod router;

pub use demand::{
    MemberHealth, MemberView, MemberWeight, ReadDemand, ReadRoute, RouteChoice, RouteReason,
};
pub use router::{ReadPolicy, ReadRouter};
