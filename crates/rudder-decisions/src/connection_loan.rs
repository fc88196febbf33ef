//! Loans of connections between instances.
//!
//! Load pattern: a few dozen instances share the connections of a member, one or two each. Demand
//! shifts between failure domains within a second, so one instance refuses callers at its share
//! while connections of others are unused and slots of the member are idle.
//!
//! An instance with waiting callers therefore asks another one, which reported spare connections,
//! to give up a part of its share for a limited time. The lender lowers its own share before it
//! responds. The borrower counts the validity from when it sent the request, the lender from when
//! it responded and with a margin, so the sum of all shares never grows, whichever message is lost
//! or repeated and whichever side fails. Only connections above the first are lent; a process that
//! has just started uses one connection per member for as long as a loan of an earlier process of
//! the same instance may be valid.
//!
//! One lender is asked at a time: if several are asked, all of them give up connections for one
//! caller, and their own callers wait.

mod ledger;
mod rotation;
mod spare;
mod terms;

pub use ledger::LoanLedger;
pub use rotation::MemberRotation;
pub use spare::{MemberKey, SpareBoard};
pub use terms::{
    LoanAction, LoanDecision, LoanRefusal, LoanRequestTerms, LoanResponseTerms, MemberUse,
    ResponseOutcome, ReturnReason,
};

use crate::ConnectionShare;
use std::time::Duration;

/// Time for which a loan is valid. A loan that is in use is renewed; a longer time would only
/// lengthen the loss after a lender or borrower has failed.
const LOAN_VALIDITY: Duration = Duration::from_millis(1500);

/// Time that the lender adds to the validity, for differences between the clocks' rates and for a
/// process that is paused between reading its clock and closing a connection.
const LENDER_MARGIN: Duration = Duration::from_millis(250);

/// Time before the end of a loan from which the borrower begins no work on it, so that statements
/// in progress end in time. Longer than nearly all single statements.
const BORROWER_MARGIN: Duration = Duration::from_millis(200);

/// Smallest share with which loans are not used: no instance then depends on a single connection,
/// which a transaction occupies while its caller is idle.
const AMPLE_SHARE: u32 = 2;

/// Whether instances lend each other connections to a member that accepts `connections_max`: some
/// share is one, the shares do not exceed the limit, and no client accounts exist.
///
/// All instances with the same list decide alike.
///
/// ```
/// use rudder_decisions::uses_connection_loans;
/// assert!(uses_connection_loans(49, 29, false));
/// assert!(!uses_connection_loans(49, 29, true), "accounts");
/// assert!(!uses_connection_loans(49, 15, false), "all shares are two or more");
/// assert!(!uses_connection_loans(49, 60, false), "more instances than connections");
/// assert!(!uses_connection_loans(49, 1, false), "nobody to borrow from");
/// ```
#[must_use]
pub fn uses_connection_loans(connections_max: u32, instances: usize, has_accounts: bool) -> bool {
    let count = u32::try_from(instances).unwrap_or(u32::MAX);
    let smallest = ConnectionShare::smallest(connections_max, instances);
    let scarce = ConnectionShare::is_scarce(connections_max, instances);
    !has_accounts && count > 1 && !scarce && smallest.0 < AMPLE_SHARE
}
