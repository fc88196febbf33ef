//! Matching a member's replies with the frames that were sent, so that replies to frames of our
//! own are kept back and replies to frames that were not sent are made up.

use rudder_endpoint::tag;
use std::collections::VecDeque;

/// `ParseComplete`, as a member would send it.
const PARSE_COMPLETE: &[u8] = b"1\0\0\0\x04";

/// `CloseComplete`, as a member would send it.
const CLOSE_COMPLETE: &[u8] = b"3\0\0\0\x04";

/// The reply that comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExpectedReply {
    /// To a Parse of this statement; `relayed` if the caller sent it.
    Parse {
        /// The statement's hash.
        hash: u128,
        /// Whether the caller awaits it.
        relayed: bool,
    },
    /// To a Close of our own, of the statement with this hash.
    InternalClose(u128),
    /// To a Bind or a Close of the caller's.
    Single,
    /// To a Describe: ends with the row description or with its absence.
    Describe,
    /// To an Execute: ends with completion, suspension or emptiness.
    Execute,
    /// Made up: the frame was not sent.
    SyntheticParse,
    /// Made up: the frame was not sent.
    SyntheticClose,
}

/// What to do with a frame that a member sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReplyAction {
    /// Hand it to the caller.
    Relay,
    /// Keep it back.
    Discard,
}

/// The replies that are still to come for one batch.
#[derive(Debug, Default)]
pub(crate) struct ReplyQueue {
    expected: VecDeque<ExpectedReply>,
    prepared: Vec<u128>,
    names_changed: usize,
}

impl ReplyQueue {
    /// Adds a reply to come.
    pub(crate) fn expect(&mut self, reply: ExpectedReply) {
        self.expected.push_back(reply);
    }

    /// Whether every reply has come.
    pub(crate) fn is_empty(&self) -> bool {
        self.expected.is_empty()
    }

    /// The statements that the member has prepared since the last call.
    pub(crate) fn take_prepared(&mut self) -> Vec<u128> {
        std::mem::take(&mut self.prepared)
    }

    /// How many of the caller's names the member (or this proxy in its place) has prepared or
    /// closed.
    pub(crate) fn names_changed(&self) -> usize {
        self.names_changed
    }

    /// Whether a Parse of this statement is on its way.
    pub(crate) fn awaits_parse(&self, wanted: u128) -> bool {
        let parses = |reply: &ExpectedReply| matches!(reply, ExpectedReply::Parse { hash, .. } if *hash == wanted);
        self.expected.iter().any(parses)
    }

    /// Writes the made-up replies that are due before the member's next one.
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

    /// Takes a whole frame of the member.
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
                // The member skips everything up to the next Sync, so no other reply comes.
                let skipped = std::mem::take(&mut self.expected);
                // Guards against a statement that we think closed although its Close was skipped:
                // preparing it again would fail, as its name is still taken.
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
