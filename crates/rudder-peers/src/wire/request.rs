//! Requests and responses sent over TCP.

use super::entry::WireEntry;
use super::error::WireError;
use super::hint::WireHint;
use crate::hints::PeerHint;
use crate::member::PeerEntry;
use rudder_core::{InstanceName, LogStamp, SessionId, SessionToken, plain_data};
use serde::{Deserialize, Serialize};

/// Request to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRequest {
    /// Requests the floors of this session, that is, the positions that its reads must include.
    SessionLookup(SessionId),
    /// Sessions that the requesting instance hands over because it is leaving.
    SessionHandover(Vec<SessionToken>),
    /// Requests the settings revision if it is newer than this number.
    RevisionFetch {
        /// Number of the newest revision that the requesting instance has.
        newer_than: u64,
    },
    /// Request between the succession code of two instances, in the encoding of that code.
    Succession(Vec<u8>),
}

/// Reply to a `PeerRequest`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerReply {
    /// The responding instance has no information. This does not mean that none exists.
    Unknown,
    /// Floors of the session, as far as the responding instance knows them.
    Session(SessionToken),
    /// The sessions handed over were accepted.
    Accepted,
    /// The requested revision, in the encoding of the settings code.
    Revision(Vec<u8>),
    /// Reply of the succession code, in the encoding of that code.
    Succession(Vec<u8>),
}

plain_data! {
    /// Instances known to the sender, exchanged when two digests differ.
    pub(crate) struct PeerTableFrame {
        /// Entry of the sender.
        pub(crate) sender: PeerEntry,
        /// Other instances: the whole table in a response, the differences in an update.
        pub(crate) entries: Vec<PeerEntry>,
    }
}

/// Body of a request sent over TCP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RequestBody {
    /// Requests the table of instances.
    Table,
    /// Requests the known primaries of groups.
    Groups,
    /// Sends entries that are newer than those of the receiver.
    Update(PeerTableFrame),
    Handler(PeerRequest),
}

plain_data! {
    /// Request with the number that its response must repeat.
    pub(crate) struct RequestFrame {
        pub(crate) number: u64,
        pub(crate) body: RequestBody,
    }
}

/// Response sent over TCP.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFrame {
    /// Table of the responding instance.
    Table {
        number: u64,
        table: PeerTableFrame,
    },
    /// Known primaries of groups.
    Groups {
        number: u64,
        sender: InstanceName,
        hints: Vec<PeerHint>,
    },
    /// The responding instance has used up its budget for table transfers.
    Busy {
        number: u64,
    },
    Reply {
        number: u64,
        reply: PeerReply,
    },
}

impl ResponseFrame {
    pub(crate) fn number(&self) -> u64 {
        match self {
            Self::Table { number, .. }
            | Self::Groups { number, .. }
            | Self::Busy { number }
            | Self::Reply { number, .. } => *number,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireRequest {
    number: u64,
    body: WireRequestBody,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireRequestBody {
    Table,
    Groups,
    Update(WireTable),
    SessionLookup(String),
    SessionHandover(Vec<WireSession>),
    RevisionFetch { newer_than: u64 },
    Succession(Vec<u8>),
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireResponse {
    number: u64,
    body: WireResponseBody,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireResponseBody {
    Table(WireTable),
    Groups { sender: String, hints: Vec<WireHint> },
    Busy,
    Unknown,
    Session(WireSession),
    Accepted,
    Revision(Vec<u8>),
    Succession(Vec<u8>),
}

#[derive(Debug, Serialize, Deserialize)]
struct WireTable {
    sender: WireEntry,
    entries: Vec<WireEntry>,
}

/// Session token: its id, and the term and position of its floor for each service.
#[derive(Debug, Serialize, Deserialize)]
struct WireSession {
    id: String,
    floors: Vec<(String, u64, u64)>,
}

impl From<&PeerTableFrame> for WireTable {
    fn from(table: &PeerTableFrame) -> Self {
        Self {
            sender: (&table.sender).into(),
            entries: table.entries.iter().map(WireEntry::from).collect(),
        }
    }
}

impl TryFrom<WireTable> for PeerTableFrame {
    type Error = WireError;

    fn try_from(wire: WireTable) -> Result<Self, WireError> {
        let entries: Result<_, WireError> =
            wire.entries.into_iter().map(PeerEntry::try_from).collect();
        Ok(Self { sender: wire.sender.try_into()?, entries: entries? })
    }
}

impl From<&SessionToken> for WireSession {
    fn from(token: &SessionToken) -> Self {
        let floors = token
            .floors()
            .iter()
            .map(|floor| (floor.service.to_string(), floor.stamp.term.0, floor.stamp.position.0));
        Self { id: token.id().to_string(), floors: floors.collect() }
    }
}

impl TryFrom<WireSession> for SessionToken {
    type Error = WireError;

    fn try_from(wire: WireSession) -> Result<Self, WireError> {
        let mut token = Self::new(wire.id.parse()?);
        for (service, term, position) in wire.floors {
            token.raise(&service.parse()?, LogStamp::new(term, position));
        }
        Ok(token)
    }
}

impl From<&RequestFrame> for WireRequest {
    fn from(frame: &RequestFrame) -> Self {
        let body = match &frame.body {
            RequestBody::Table => WireRequestBody::Table,
            RequestBody::Groups => WireRequestBody::Groups,
            RequestBody::Update(table) => WireRequestBody::Update(table.into()),
            RequestBody::Handler(PeerRequest::SessionLookup(id)) => {
                WireRequestBody::SessionLookup(id.to_string())
            }
            RequestBody::Handler(PeerRequest::SessionHandover(tokens)) => {
                WireRequestBody::SessionHandover(tokens.iter().map(WireSession::from).collect())
            }
            RequestBody::Handler(PeerRequest::RevisionFetch { newer_than }) => {
                WireRequestBody::RevisionFetch { newer_than: *newer_than }
            }
            RequestBody::Handler(PeerRequest::Succession(bytes)) => {
                WireRequestBody::Succession(bytes.clone())
            }
        };
        Self { number: frame.number, body }
    }
}

impl TryFrom<WireRequest> for RequestFrame {
    type Error = WireError;

    fn try_from(wire: WireRequest) -> Result<Self, WireError> {
        let body = match wire.body {
            WireRequestBody::Table => RequestBody::Table,
            WireRequestBody::Groups => RequestBody::Groups,
            WireRequestBody::Update(table) => RequestBody::Update(table.try_into()?),
            WireRequestBody::SessionLookup(id) => {
                RequestBody::Handler(PeerRequest::SessionLookup(id.parse()?))
            }
            WireRequestBody::SessionHandover(sessions) => {
                let tokens: Result<_, WireError> =
                    sessions.into_iter().map(SessionToken::try_from).collect();
                RequestBody::Handler(PeerRequest::SessionHandover(tokens?))
            }
            WireRequestBody::RevisionFetch { newer_than } => {
                RequestBody::Handler(PeerRequest::RevisionFetch { newer_than })
            }
            WireRequestBody::Succession(bytes) => {
                RequestBody::Handler(PeerRequest::Succession(bytes))
            }
        };
        Ok(Self { number: wire.number, body })
    }
}

impl From<&ResponseFrame> for WireResponse {
    fn from(frame: &ResponseFrame) -> Self {
        let body = match frame {
            ResponseFrame::Table { table, .. } => WireResponseBody::Table(table.into()),
            ResponseFrame::Groups { sender, hints, .. } => WireResponseBody::Groups {
                sender: sender.to_string(),
                hints: hints.iter().map(WireHint::from).collect(),
            },
            ResponseFrame::Busy { .. } => WireResponseBody::Busy,
            ResponseFrame::Reply { reply, .. } => match reply {
                PeerReply::Unknown => WireResponseBody::Unknown,
                PeerReply::Session(token) => WireResponseBody::Session(token.into()),
                PeerReply::Accepted => WireResponseBody::Accepted,
                PeerReply::Revision(bytes) => WireResponseBody::Revision(bytes.clone()),
                PeerReply::Succession(bytes) => WireResponseBody::Succession(bytes.clone()),
            },
        };
        Self { number: frame.number(), body }
    }
}

impl TryFrom<WireResponse> for ResponseFrame {
    type Error = WireError;

    fn try_from(wire: WireResponse) -> Result<Self, WireError> {
        let number = wire.number;
        let reply = match wire.body {
            WireResponseBody::Table(table) => {
                return Ok(Self::Table { number, table: table.try_into()? });
            }
            WireResponseBody::Groups { sender, hints } => {
                let hints: Result<_, WireError> =
                    hints.into_iter().map(PeerHint::try_from).collect();
                return Ok(Self::Groups { number, sender: sender.parse()?, hints: hints? });
            }
            WireResponseBody::Busy => return Ok(Self::Busy { number }),
            WireResponseBody::Unknown => PeerReply::Unknown,
            WireResponseBody::Session(session) => PeerReply::Session(session.try_into()?),
            WireResponseBody::Accepted => PeerReply::Accepted,
            WireResponseBody::Revision(bytes) => PeerReply::Revision(bytes),
            WireResponseBody::Succession(bytes) => PeerReply::Succession(bytes),
        };
        Ok(Self::Reply { number, reply })
    }
}
