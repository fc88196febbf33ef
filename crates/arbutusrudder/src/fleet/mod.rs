//! Following the accepted settings: from the platform, and from peers while it cannot be reached.

mod apply;
mod follow;

pub(crate) use follow::follow_settings;
