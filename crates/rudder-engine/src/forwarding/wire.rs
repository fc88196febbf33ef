//! Messages of a forwarding connection.
//!
//! Deadlines are sent as remaining durations, so that the clocks of instances are never compared.
//! A change of these types needs a new [`super::frame::WIRE_VERSION`].

use crate::engine::RouteAccess;
use crate::session::StatementJob;
use crate::settings::{DatabaseName, RouteKind, RouteRule};
use crate::statement::{
    PreparedStatement, RequestId, SessionValue, StatementBody, StatementEffect, StatementError,
    StatementOutcome, StatementReply, TransactionState,
};
use displaydoc::Display;
use rudder_core::{AccountName, LogStamp, ServiceName, plain_data};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest remaining time that a request may state. Statement timeouts are seconds; a longer time
/// is an error of the sender and would keep resources of the holder.
const REMAINING_MAX: Duration = Duration::from_secs(600);

/// Priority of a request that states none: the lowest.
const MISSING_PRIORITY: u8 = u8::MAX;

plain_data! {
    /// Message from the origin to the holder.
    #[derive(Serialize, Deserialize)]
    pub(crate) enum OriginFrame {
        /// A single statement.
        Statement(WireRequest),
        /// A statement or the commit of a transaction. The first one begins the transaction.
        Transaction { transaction: u64, begin: Option<WireBegin>, request: WireRequest },
        /// Rolls a transaction back.
        RollBack { transaction: u64 },
        /// Requests a [`HolderFrame::Pong`].
        Ping,
    }
}

plain_data! {
    /// Message from the holder to the origin.
    #[derive(Serialize, Deserialize)]
    pub(crate) enum HolderFrame {
        /// Reply to a request that was run.
        Reply { request_id: u64, reply: WireReply },
        /// Nothing of the request was sent to a member.
        Declined { request_id: u64, reason: DeclineReason },
        /// The request was run, but its reply is too large to be sent.
        Undeliverable { request_id: u64 },
        Pong,
    }
}

/// Reason why a holder did not run a request. The texts are fixed words in logs and metrics.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DeclineReason {
    /// draining
    Draining,
    /// overloaded
    Overloaded,
    /// unknown_account
    UnknownAccount,
    /// unknown_service
    UnknownService,
    /// expired
    Expired,
    /// invalid
    Invalid,
}

plain_data! {
    /// How a transaction begins.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) struct WireBegin {
        pub(crate) read_only: bool,
    }
}

plain_data! {
    /// Statement with the part of its session that it needs.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct WireRequest {
        pub(crate) request_id: u64,
        pub(crate) id: String,
        pub(crate) body: WireBody,
        pub(crate) effect: WireEffect,
        pub(crate) prepared: Option<WirePrepared>,
        pub(crate) values: Vec<WireValue>,
        pub(crate) route: WireRoute,
        pub(crate) account: Option<AccountName>,
        /// Position of the session's own commits.
        pub(crate) floor: Option<LogStamp>,
        /// Remaining time to obtain a connection.
        pub(crate) wait: Duration,
        /// Remaining time to receive the reply.
        pub(crate) time: Duration,
    }
}

plain_data! {
    /// Route as the origin resolved it.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct WireRoute {
        pub(crate) database: String,
        pub(crate) service: ServiceName,
        pub(crate) kind: WireKind,
        pub(crate) statement_timeout: Duration,
        pub(crate) latency_target: Duration,
        pub(crate) priority: Option<u8>,
        pub(crate) is_public: bool,
    }
}

plain_data! {
    /// Consistency guarantee of a route.
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) enum WireKind {
        Strict,
        Bounded(Duration),
        ReadYourWrites(Duration),
    }
}

plain_data! {
    /// Statement to run.
    #[derive(Serialize, Deserialize)]
    pub(crate) enum WireBody {
        Text(String),
        /// The prepared statement of the request.
        Execute { arguments: String },
        Commit,
    }
}

plain_data! {
    #[derive(Copy, Serialize, Deserialize)]
    pub(crate) enum WireEffect {
        Read,
        Write,
    }
}

plain_data! {
    #[derive(Serialize, Deserialize)]
    pub(crate) struct WirePrepared {
        pub(crate) effect: WireEffect,
        pub(crate) text: String,
    }
}

plain_data! {
    /// Named value of a session.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct WireValue {
        pub(crate) name: String,
        pub(crate) value: String,
    }
}

plain_data! {
    /// Reply of a member, or the holder's refusal.
    #[derive(Serialize, Deserialize)]
    pub(crate) struct WireReply {
        pub(crate) rows: Vec<String>,
        pub(crate) outcome: WireOutcome,
        pub(crate) state: WireState,
        pub(crate) position: Option<LogStamp>,
    }
}

plain_data! {
    #[derive(Serialize, Deserialize)]
    pub(crate) enum WireOutcome {
        Done(String),
        Error { error: WireError, text: String },
    }
}

/// Declares the wire form of an enum whose unit variants are the same on both sides.
macro_rules! mirrored {
    ($wire:ident = $plain:ident { $($variant:ident),* } $(, $carrier:ident)?) => {
        plain_data! {
            #[derive(Serialize, Deserialize)]
            pub(crate) enum $wire { $($variant,)* $($carrier(String),)? }
        }

        impl From<$plain> for $wire {
            fn from(plain: $plain) -> Self {
                match plain {
                    $($plain::$variant => Self::$variant,)*
                    $($plain::$carrier(text) => Self::$carrier(text),)?
                }
            }
        }

        impl From<$wire> for $plain {
            fn from(wire: $wire) -> Self {
                match wire {
                    $($wire::$variant => Self::$variant,)*
                    $($wire::$carrier(text) => Self::$carrier(text),)?
                }
            }
        }
    };
}

mirrored!(WireState = TransactionState { Idle, Open, Failed });
mirrored!(
    WireError = StatementError {
        Busy,
        Aborted,
        Lagging,
        ReadOnly,
        Misrouted,
        ConnectionLimit,
        Failed,
        UnknownName,
        TimedOut,
        InDoubt,
        NoDatabase,
        Unauthorized,
        TooLarge,
        Malformed
    },
    Other
);

impl From<StatementEffect> for WireEffect {
    fn from(effect: StatementEffect) -> Self {
        match effect {
            StatementEffect::Read => Self::Read,
            StatementEffect::Write => Self::Write,
        }
    }
}

impl From<WireEffect> for StatementEffect {
    fn from(effect: WireEffect) -> Self {
        match effect {
            WireEffect::Read => Self::Read,
            WireEffect::Write => Self::Write,
        }
    }
}

impl From<StatementReply> for WireReply {
    fn from(reply: StatementReply) -> Self {
        let outcome = match reply.outcome {
            StatementOutcome::Done(text) => WireOutcome::Done(text),
            StatementOutcome::Error { error, text } => {
                WireOutcome::Error { error: error.into(), text }
            }
        };
        let StatementReply { rows, state, position, .. } = reply;
        Self { rows, outcome, state: state.into(), position }
    }
}

impl From<WireReply> for StatementReply {
    fn from(reply: WireReply) -> Self {
        let outcome = match reply.outcome {
            WireOutcome::Done(text) => StatementOutcome::Done(text),
            WireOutcome::Error { error, text } => {
                StatementOutcome::Error { error: error.into(), text }
            }
        };
        let WireReply { rows, state, position, .. } = reply;
        Self { rows, outcome, state: state.into(), position }
    }
}

impl From<&RouteRule> for WireRoute {
    fn from(rule: &RouteRule) -> Self {
        let kind = match rule.kind {
            RouteKind::Strict => WireKind::Strict,
            RouteKind::Bounded(bound) => WireKind::Bounded(bound),
            RouteKind::ReadYourWrites(bound) => WireKind::ReadYourWrites(bound),
        };
        Self {
            database: rule.database.0.clone(),
            service: rule.service.clone(),
            kind,
            statement_timeout: rule.statement_timeout,
            latency_target: rule.latency_target,
            priority: Some(rule.priority),
            is_public: rule.is_public,
        }
    }
}

impl From<WireRoute> for RouteRule {
    fn from(route: WireRoute) -> Self {
        let kind = match route.kind {
            WireKind::Strict => RouteKind::Strict,
            WireKind::Bounded(bound) => RouteKind::Bounded(bound),
            WireKind::ReadYourWrites(bound) => RouteKind::ReadYourWrites(bound),
        };
        Self {
            database: DatabaseName(route.database),
            service: route.service,
            kind,
            statement_timeout: route.statement_timeout,
            latency_target: route.latency_target,
            priority: route.priority.unwrap_or(MISSING_PRIORITY),
            is_public: route.is_public,
        }
    }
}

impl WireRequest {
    /// Returns the message for a job, with the times that remain now.
    pub(crate) fn new(
        request_id: u64,
        access: &RouteAccess,
        job: &StatementJob,
        floor: Option<LogStamp>,
    ) -> Self {
        let body = match &job.body {
            StatementBody::Text(text) => WireBody::Text(text.clone()),
            StatementBody::Execute { arguments, .. } => {
                WireBody::Execute { arguments: arguments.clone() }
            }
            StatementBody::Commit => WireBody::Commit,
        };
        let prepared = job.prepared.as_ref().map(|prepared| WirePrepared {
            effect: prepared.effect.into(),
            text: prepared.text.clone(),
        });
        let value = |value: &SessionValue| WireValue {
            name: value.name.clone(),
            value: value.value.clone(),
        };
        Self {
            request_id,
            id: job.id.0.clone(),
            body,
            effect: job.effect.into(),
            prepared,
            values: job.values.iter().map(value).collect(),
            route: access.route.as_ref().into(),
            account: access.account.clone(),
            floor,
            wait: job.wait_remaining(),
            time: job.time_remaining(),
        }
    }
}

/// A request as the holder runs it.
#[derive(Debug)]
pub(crate) struct ForwardedRequest {
    pub(crate) access: RouteAccess,
    pub(crate) job: StatementJob,
    pub(crate) floor: Option<LogStamp>,
}

impl TryFrom<WireRequest> for ForwardedRequest {
    type Error = DeclineReason;

    fn try_from(request: WireRequest) -> Result<Self, DeclineReason> {
        if request.time.is_zero() {
            return Err(DeclineReason::Expired);
        }
        let prepared = request.prepared.map(|prepared| PreparedStatement {
            effect: prepared.effect.into(),
            text: prepared.text,
        });
        let body = match (request.body, &prepared) {
            (WireBody::Text(text), _) => StatementBody::Text(text),
            (WireBody::Execute { arguments }, Some(prepared)) => {
                StatementBody::Execute { alias: prepared.alias(), arguments }
            }
            (WireBody::Execute { .. }, None) => return Err(DeclineReason::Invalid),
            (WireBody::Commit, _) => StatementBody::Commit,
        };
        let route: RouteRule = request.route.into();
        let longest = request.time.max(route.statement_timeout).max(route.latency_target);
        if longest > REMAINING_MAX {
            return Err(DeclineReason::Invalid);
        }
        let mut values: Vec<SessionValue> = request
            .values
            .into_iter()
            .map(|value| SessionValue { name: value.name, value: value.value })
            .collect();
        // Connections compare their values with these by merging two sorted lists.
        values.sort_unstable();
        let access = RouteAccess { route: Arc::new(route), account: request.account };
        let effect = request.effect.into();
        let id = RequestId(request.id);
        let mut job = StatementJob::new(id, body, effect, prepared, &values, &access);
        let now = Instant::now();
        job.wait_until = now + request.wait.min(request.time);
        job.deadline = now + request.time;
        Ok(Self { access, job, floor: request.floor })
    }
}
