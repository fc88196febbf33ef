//! Which instances hold the connections of client accounts to members.

pub(crate) mod holders;
