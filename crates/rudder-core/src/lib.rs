//! Identifiers, units and consistency rules shared by every package of the workspace.
//!
//! Nothing here opens a socket, reads a clock or depends on an async runtime, so each rule can be
//! tested by feeding it values.

mod ack;
mod control;
mod derive;
mod error;
mod freshness;
mod history;
mod ident;
mod outcome;
mod session;
mod stamp;
mod status;
mod succession;
mod unit;

pub use ack::{AckDecision, decide_commit, decide_term, majority_of, stamp_of_commit};
pub use control::{ControlStatement, STATUS_COLUMNS, TERM_REFUSED_SQLSTATE};
pub use error::ParseError;
pub use freshness::{
    FreshSample, FreshnessSamples, ReadDecision, ReadRequirement, TimedReport, confirm_sample,
    decide_read,
};
pub use history::{
    HistoryFault, HistoryLog, ReadRecord, StoredValue, WriteOutcome, WriteRecord, check_history,
};
pub use ident::{
    AccountName, CallerKind, DomainName, InstanceName, MemberName, RequestKey, ServiceName,
};
pub use outcome::{OutcomeClass, RefusalNotice};
pub use session::{SessionFloor, SessionId, SessionToken};
pub use stamp::{LogPosition, LogStamp, LogTerm};
pub use status::{MemberRole, MemberStatus};
pub use succession::{
    FailureDetector, GrantError, GroupCondition, KeeperRun, ObserverVote, PlanMember, PlanReply,
    PlanRequest, PlanState, PlanTimeouts, StallDetector, SuccessionGrant, SuccessionPlan,
    SwitchOrder, TermReservation, TermReserve, VoteKind, WriterMark, assess_group,
    choose_candidate,
};
pub use unit::{ByteSize, ConnectionCount, MemberSpeed, RequestRate, SlotCount};
