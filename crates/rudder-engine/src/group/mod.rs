//! The members of a service, the connections to them, and where a read may go.

mod image;
mod link;
mod member;
mod placement;
mod pool;
mod service;

pub(crate) use image::put_value;
pub(crate) use link::{ExchangeError, PooledLink};
pub(crate) use member::GroupMember;
pub use member::{MemberEntry, MemberState};
pub(crate) use placement::{ReadPlace, order_members};
pub(crate) use pool::AcquireError;
pub(crate) use service::ServiceGroup;

#[cfg(test)]
mod tests;
