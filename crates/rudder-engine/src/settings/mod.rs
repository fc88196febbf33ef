//! Settings declared by the operators: databases with the consistency of their reads, services,
//! client accounts, and timeouts.

mod accounts;
mod table;

pub use accounts::{AccountError, AccountLimit, AccountRule, AccountTable, KeyDigest};
pub use table::{DatabaseName, FleetSettings, RouteKind, RouteRule, ServiceRule, SettingsVersion};
