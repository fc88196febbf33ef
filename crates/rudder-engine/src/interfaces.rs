//! Interfaces to the systems around the engine: member connections and the promotion call.

use crate::clock::boot_time;
use crate::statement::{MemberCommand, StatementError, StatementReply};
use async_trait::async_trait;
use displaydoc::Display;
use rudder_core::{AccountName, MemberName, MemberStatus, ServiceName, plain_data};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

plain_data! {
    /// Address of a member and the identity that is expected there.
    #[derive(Serialize, Deserialize)]
    pub struct MemberTarget {
        /// Service of the member.
        pub service: ServiceName,
        /// Name of the member; any other member refuses the connection.
        pub member: MemberName,
        /// Network address of the member.
        pub address: SocketAddr,
    }
}

/// Reason why a connection to a member cannot be used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum LinkError {
    /// the member cannot be reached: {0}
    Unreachable(String),
    /// the member refused the connection: {0}
    Refused(StatementError),
    /// the connection broke: {0}
    Broken(String),
    /// the member violated its protocol: {0}
    Protocol(String),
    /// the member did not answer in time
    Silent,
}

impl std::error::Error for LinkError {}

/// One connection to a member. Replies arrive in the order of the commands.
#[async_trait]
pub trait MemberLink: Send {
    /// Sends several commands as one batch.
    async fn send(&mut self, commands: &[MemberCommand]) -> Result<(), LinkError>;

    /// Receives the next reply.
    async fn receive(&mut self) -> Result<StatementReply, LinkError>;
}

/// Opens connections to members.
#[async_trait]
pub trait MemberDialer: Send + Sync {
    /// Opens a connection for a client account, or for this instance if there is none, and waits
    /// until the member has accepted it.
    async fn dial(
        &self,
        target: &MemberTarget,
        account: Option<&AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError>;

    /// Returns the status in a member's reply to [`MemberCommand::Status`]; none if it is invalid.
    fn read_status(&self, reply: &StatementReply) -> Option<MemberStatus>;
}

/// Reason why a promotion is not known to have been accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum PromotionError {
    /// the member is not running, or the call is superseded
    Rejected,
    /// the call was not processed and nothing was done: {0}
    TurnedAway(String),
    /// no response; the promotion may still take effect
    Unanswered,
}

impl std::error::Error for PromotionError {}

plain_data! {
    /// Order to promote a member.
    pub struct PromotionOrder {
        /// Service whose primary is replaced.
        pub service: ServiceName,
        /// Member to promote.
        pub member: MemberName,
        /// Instance that sends the order.
        pub holder: String,
        /// Fencing token, which is greater for each later holder.
        pub token: u64,
        /// Time since the machine started, including suspension, after which the order must not be
        /// sent, as another instance may send one by then.
        pub valid_until: Duration,
    }
}

impl PromotionOrder {
    /// Returns whether the order may still be sent.
    ///
    /// ```
    /// use rudder_engine::PromotionOrder;
    /// use std::time::Duration;
    /// let order = PromotionOrder {
    ///     service: "records".parse()?,
    ///     member: "a".parse()?,
    ///     holder: "entry-1".to_owned(),
    ///     token: 3,
    ///     valid_until: Duration::ZERO,
    /// };
    /// assert!(!order.is_valid());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn is_valid(&self) -> bool {
        boot_time() < self.valid_until
    }
}

/// Promotes members.
#[async_trait]
pub trait PromotionCall: Send + Sync {
    /// Sends the order, unless it is no longer valid once it can be sent. Repeating the same order
    /// is allowed.
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromotionError>;
}
