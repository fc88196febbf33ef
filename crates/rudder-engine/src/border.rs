//! The borders of the engine: member connections, and the call that promotes a member.

use crate::statement::{MemberCommand, StatementError, StatementReply};
use async_trait::async_trait;
use displaydoc::Display;
use rudder_core::{AccountName, MemberName, MemberStatus, ServiceName, plain_data};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

plain_data! {
    /// Where a member listens, and who is expected there.
    #[derive(Serialize, Deserialize)]
    pub struct MemberTarget {
        /// The service.
        pub service: ServiceName,
        /// The member; the connection is refused by any other.
        pub member: MemberName,
        /// The address.
        pub address: SocketAddr,
    }
}

/// Why a connection to a member cannot be used.
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

/// One connection to a member. Answers come in the order of the commands.
#[async_trait]
pub trait MemberLink: Send {
    /// Writes commands in one go.
    async fn send(&mut self, commands: &[MemberCommand]) -> Result<(), LinkError>;

    /// Reads the next answer.
    async fn receive(&mut self) -> Result<StatementReply, LinkError>;
}

/// Opens connections to members.
#[async_trait]
pub trait MemberDialer: Send + Sync {
    /// Opens a connection in the name of a client account, or of this instance, and waits until the
    /// member has accepted it.
    async fn dial(
        &self,
        target: &MemberTarget,
        account: Option<&AccountName>,
    ) -> Result<Box<dyn MemberLink>, LinkError>;

    /// What a member said of itself in its answer to [`MemberCommand::Status`].
    fn read_status(&self, reply: &StatementReply) -> Option<MemberStatus>;
}

/// Why a promotion is not known to have been accepted.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum PromotionError {
    /// the member is not running, or the call is superseded
    Rejected,
    /// the call was rejected and nothing was done: {0}
    TurnedAway(String),
    /// no response; the promotion may still take effect
    Unanswered,
}

impl std::error::Error for PromotionError {}

plain_data! {
    /// An order to promote a member.
    pub struct PromotionOrder {
        /// The service.
        pub service: ServiceName,
        /// The member that is to lead.
        pub member: MemberName,
        /// The instance that gives the order.
        pub holder: String,
        /// The fencing token: greater for each later holder.
        pub token: u64,
    }
}

/// Promotes members.
#[async_trait]
pub trait PromotionCall: Send + Sync {
    /// Gives the order; the same order may be given again.
    async fn promote(&self, order: &PromotionOrder) -> Result<(), PromotionError>;
}
