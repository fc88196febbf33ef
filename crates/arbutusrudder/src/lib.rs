//! The proxy: serves callers and takes an equal share of the control tasks of the groups.

mod admin;
mod caller;
mod classify;
mod context;
mod error;
mod exchange;
mod fleet;
mod group;
mod group_tasks;
mod keeper;
mod logs;
mod options;
mod peering;
mod policy;
mod process;
mod proxy;
mod tls;

pub use classify::{
    SessionChange, StatementEffect, StatementFacts, StatementsSummary, TransactionStep,
    classify_text,
};
pub use error::ProxyError;
pub use logs::{LogError, LogLevel, set_up_logs};
pub use options::{ProxyOptions, StartMode};
pub use policy::ProxyPolicies;
pub use process::{AddressRoute, ProcessError, ProcessSettings, UserPassword};
pub use proxy::{ProxyInstance, run};
