//! The engine of the proxy: routes statements to members, independent of any wire format.
//!
//! Callers submit statements through [`CallerSession`]; members, the store and the promotion call
//! are traits. Reads with a staleness bound go to replicas that have applied a log position derived
//! from samples of the primary's position. Writes and strict reads go to the primary under a lease.
//! A change of primary is coordinated through a record in the store.

mod callers;
mod clock;
mod duty;
mod engine;
#[cfg(test)]
mod fixtures;
mod forwarding;
mod group;
mod identity;
mod interfaces;
mod lead;
mod limits;
mod own_entry;
mod peers;
mod records_status;
mod records_view;
mod session;
mod settings;
mod statement;
mod store_snapshot;
mod sync;

pub use callers::{CallerConnection, CallerConnections};
pub use duty::{EngineTiming, start_engine, stop_engine};
pub use engine::ProxyEngine;
pub use group::{MemberEntry, MemberState};
pub use identity::{DrainPhase, EngineDependencies, InstanceIdentity};
pub use interfaces::{
    LinkError, MemberDialer, MemberLink, MemberTarget, PromotionCall, PromotionError,
    PromotionOrder,
};
pub use lead::{LeadPhase, LeadRecord, LeaderEpoch, MemberOrder};
pub use session::CallerSession;
pub use settings::{
    AccountError, AccountLimit, AccountRule, AccountTable, DatabaseName, FleetSettings, KeyDigest,
    RouteKind, RouteRule, ServiceRule, SettingsVersion,
};
pub use statement::{
    CallerStatement, MemberCommand, PreparedStatement, RequestId, SessionValue, StatementBody,
    StatementEffect, StatementError, StatementOutcome, StatementReply, TransactionState,
};
