//! What the operators declare: databases, how fresh their reads are, client accounts, and time
//! bounds.

mod accounts;
mod table;

pub use accounts::{AccountError, AccountLimit, AccountRule, AccountTable, KeyDigest};
pub use table::{DatabaseName, FleetSettings, RouteKind, RouteRule, ServiceRule, SettingsVersion};
