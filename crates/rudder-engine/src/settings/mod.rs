//! What the operators declare: databases, how fresh their reads are, and time bounds.

mod table;

pub use table::{DatabaseName, FleetSettings, RouteKind, RouteRule, ServiceRule, SettingsVersion};
