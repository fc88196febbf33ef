//! Matches a member's replies with the frames that were sent. Replies to frames that the proxy
//! added are discarded, and replies to frames that it did not forward are generated.

use rudder_endpoint::tag;
use std::collections::VecDeque;

/// `ParseComplete`, as a member would send it.
const PARSE_COMPLETE: &[u8] = b"1\0\0\0\x04";

/// `CloseComplete`, as a member would send it.
const CLOSE_COMPLETE: &[u8] = b"3\0\0\0\x04";

/// A reply that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpectedReply {
    /// Reply to a Parse of this statement; `relayed` if the caller sent it.
    Parse {
        /// The statement's hash.
        hash: u128,
        /// Whether the reply is relayed to the caller.
        relayed: bool,
    },
    /// Reply to a Close that the proxy added, of the statement with this hash.
    InternalClose(u128),
    /// Reply to a Bind or Close of the caller.
    Single,
    /// Reply to a Describe: ends with RowDescription or NoData.
    Describe,
    /// Reply to an Execute: ends with CommandComplete, PortalSuspended or EmptyQueryResponse.
    Execute,
    /// Generated reply to a Parse that was not sent to the member.
    SyntheticParse,
    /// Generated reply to a Close that was not sent to the member.
    SyntheticClose,
}

/// Handling of a frame that a member sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyAction {
    /// Relay it to the caller.
    Relay,
    /// Discard it.
    Discard,
}

/// The replies still expected for one batch.
#[derive(Debug, Default)]
pub(crate) struct ReplyQueue {
    expected: VecDeque<ExpectedReply>,
    prepared: Vec<u128>,
    names_changed: usize,
}

impl ReplyQueue {
    /// Adds an expected reply.
    pub(crate) fn expect(&mut self, reply: ExpectedReply) {
        self.expected.push_back(reply);
    }

    /// Whether every expected reply was received.
    pub(crate) fn is_empty(&self) -> bool {
        self.expected.is_empty()
    }

    /// Returns the statements that the member prepared since the last call.
    pub(crate) fn take_prepared(&mut self) -> Vec<u128> {
        std::mem::take(&mut self.prepared)
    }

    /// Returns how many of the caller's statement names were prepared or closed, by the member or
    /// by this proxy in its place.
    pub(crate) fn names_changed(&self) -> usize {
        self.names_changed
    }

    /// Whether the reply to a Parse of this statement is expected.
    pub(crate) fn awaits_parse(&self, wanted: u128) -> bool {
        let parses = |reply: &ExpectedReply| matches!(reply, ExpectedReply::Parse { hash, .. } if *hash == wanted);
        self.expected.iter().any(parses)
    }

    /// Writes the generated replies that precede the member's next one.
    pub(crate) fn write_synthetic(&mut self, mut write: impl FnMut(&'static [u8])) {
        loop {
            match self.expected.front() {
                Some(ExpectedReply::SyntheticParse) => write(PARSE_COMPLETE),
                Some(ExpectedReply::SyntheticClose) => write(CLOSE_COMPLETE),
                _ => return,
            }
            self.names_changed += 1;
            self.expected.pop_front();
        }
    }

    /// Matches a whole frame of the member with the expected replies.
    pub(crate) fn take(&mut self, frame_tag: u8) -> ReplyAction {
        match frame_tag {
            tag::PARSE_COMPLETE => self.take_parse(),
            tag::CLOSE_COMPLETE => self.take_close(),
            tag::BIND_COMPLETE
            | tag::ROW_DESCRIPTION
            | tag::NO_DATA
            | tag::COMMAND_COMPLETE
            | tag::PORTAL_SUSPENDED
            | tag::EMPTY_QUERY => {
                self.expected.pop_front();
                ReplyAction::Relay
            }
            tag::ERROR => {
                // The member skips everything up to the next Sync, so no other reply follows.
                let skipped = std::mem::take(&mut self.expected);
                // A skipped Close leaves its statement prepared. If it were treated as closed,
                // preparing it again would fail because its name is still in use.
                self.prepared.extend(skipped.iter().filter_map(|reply| match reply {
                    ExpectedReply::InternalClose(hash) => Some(*hash),
                    _ => None,
                }));
                ReplyAction::Relay
            }
            _ => ReplyAction::Relay,
        }
    }

    fn take_parse(&mut self) -> ReplyAction {
        let Some(ExpectedReply::Parse { hash, relayed }) = self.expected.pop_front() else {
            return ReplyAction::Relay;
        };
        self.prepared.push(hash);
        self.names_changed += usize::from(relayed);
        if relayed { ReplyAction::Relay } else { ReplyAction::Discard }
    }

    fn take_close(&mut self) -> ReplyAction {
        match self.expected.pop_front() {
            Some(ExpectedReply::InternalClose(_)) => ReplyAction::Discard,
            _ => ReplyAction::Relay,
        }
    }
}
