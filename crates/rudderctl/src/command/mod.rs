//! Implementations of the commands, one file each.

mod check;
mod drain;
mod explain;
mod fetch;
mod instance;
mod status;
mod submit;
mod switch;

pub(crate) use check::check;
pub(crate) use drain::drain;
pub(crate) use explain::explain;
pub(crate) use fetch::fetch;
pub(crate) use status::status;
pub(crate) use submit::submit;
pub(crate) use switch::switch;
