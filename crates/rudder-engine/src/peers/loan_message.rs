//! Messages about loans of connections between instances.

use rudder_core::{MemberName, ServiceName, plain_data};
use rudder_decisions::{LoanDecision, LoanResponseTerms, MemberKey};
use serde::{Deserialize, Serialize};
use std::time::Duration;

plain_data! {
    /// Number of connections to a member that the sender could lend.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct SpareCount {
        /// [`MemberKey`] of the member.
        pub(crate) member: u32,
        pub(crate) spare: u8,
    }
}

impl From<(MemberKey, u32)> for SpareCount {
    fn from((member, spare): (MemberKey, u32)) -> Self {
        Self { member: member.0, spare: u8::try_from(spare).unwrap_or(u8::MAX) }
    }
}

impl From<SpareCount> for (MemberKey, u32) {
    fn from(count: SpareCount) -> Self {
        (MemberKey(count.member), count.spare.into())
    }
}

plain_data! {
    /// All connections that the sender could lend. It replaces the sender's earlier report.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct SpareConnections {
        pub(crate) counts: Vec<SpareCount>,
    }
}

plain_data! {
    /// Loan that a message is about.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct LoanTarget {
        /// Id of the request, which names the loan.
        pub(crate) request_id: u64,
        pub(crate) service: ServiceName,
        pub(crate) member: MemberName,
    }
}

plain_data! {
    /// Request for connections to a member, or for the renewal of a loan.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct LoanRequest {
        pub(crate) loan: LoanTarget,
        /// Number of the renewal; 0 for a new loan.
        pub(crate) renewal: u32,
        /// Number of connections wanted: that of the waiting callers, up to a maximum.
        pub(crate) count: u32,
        /// Highest priority of the waiting callers; 0 is the highest.
        pub(crate) priority: u8,
    }
}

plain_data! {
    /// Response to a [`LoanRequest`].
    #[derive(Serialize, Deserialize)]
    pub(crate) struct LoanResponse {
        pub(crate) loan: LoanTarget,
        pub(crate) renewal: u32,
        /// Number of connections; 0 if the request is refused.
        pub(crate) count: u32,
        /// Validity, counted from when the request was sent.
        pub(crate) expires_after_ms: u32,
    }
}

impl LoanResponse {
    pub(crate) fn new(request: LoanRequest, decision: LoanDecision) -> Self {
        let LoanRequest { loan, renewal, .. } = request;
        let (count, validity) = match decision {
            LoanDecision::Lent { count, validity } => (count, validity),
            LoanDecision::Refused(_) => (0, Duration::ZERO),
        };
        let expires_after_ms = u32::try_from(validity.as_millis()).unwrap_or(u32::MAX);
        Self { loan, renewal, count, expires_after_ms }
    }
}

impl From<&LoanResponse> for LoanResponseTerms {
    fn from(response: &LoanResponse) -> Self {
        Self {
            request_id: response.loan.request_id,
            renewal: response.renewal,
            count: response.count,
            validity: Duration::from_millis(response.expires_after_ms.into()),
        }
    }
}

plain_data! {
    /// Notice of a borrower that it no longer uses a loan.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct LoanReturn {
        pub(crate) loan: LoanTarget,
    }
}

plain_data! {
    /// Request of a lender to return a loan as soon as its connections are free.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct LoanRecall {
        pub(crate) loan: LoanTarget,
    }
}
