//! Updates of the fleet settings: from the platform, and from peers while it cannot be reached or
//! when they know a newer revision.

mod apply;
mod follow;

pub(crate) use follow::follow_settings;
