//! Members of a service, connection pools to them, and the placement of reads.

mod acquire;
mod departures;
mod holders;
mod link;
mod link_session;
mod loan;
mod member;
mod placement;
mod pool;
mod pool_loans;
mod service;

pub(crate) use acquire::{AcquireError, acquire_any};
pub(crate) use link::{ExchangeError, PooledLink};
pub(crate) use link_session::put_value;
pub(crate) use loan::{ConnectionLoans, LoanPeer, LoanWork};
pub(crate) use member::GroupMember;
pub use member::{MemberEntry, MemberState};
pub(crate) use placement::{PlacementContext, nearest_usable, order_members, read_choices};
pub(crate) use pool::{LinkRequest, LinkUser};
pub(crate) use service::ServiceGroup;

#[cfg(test)]
mod tests;
