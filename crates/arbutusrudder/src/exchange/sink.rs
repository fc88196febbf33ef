//! Replies on their way to the caller: held back while another member may still have to answer,
//! and from the first completion on while a commit is not acknowledged.

use bytes::{Bytes, BytesMut};
use rudder_endpoint::{FramePart, WireFrame, WireLink, tag};

/// Held replies above this are handed on, if they only wait for a better member.
const READ_HELD_MAX: usize = 256 * 1024;

/// Held replies above this end the batch, if they wait for a commit.
const COMMIT_HELD_MAX: usize = 16 * 1024 * 1024;

/// How long replies are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HoldRule {
    /// Until the first row: an error before it may still be answered by another member.
    UntilRow,
    /// As `UntilRow`, and again from the first completion on, until the commit is acknowledged.
    UntilCommit,
    /// Not at all.
    Never,
}

/// The replies that were held back to the end of a batch.
#[derive(Debug)]
pub(crate) struct HeldReplies {
    bytes: BytesMut,
    /// Whether the caller has part of the answer already.
    pub(crate) relayed: bool,
    /// Statements that completed.
    pub(crate) completions: u32,
}

impl HeldReplies {
    /// Hands the replies to the caller; dropping them instead discards them.
    pub(crate) fn release(self, caller: &mut WireLink) {
        caller.outgoing().extend_from_slice(&self.bytes);
    }
}

/// Where the replies of one batch go.
pub(crate) struct ReplySink<'a> {
    caller: &'a mut WireLink,
    rule: HoldRule,
    held: BytesMut,
    streaming: bool,
    completed: bool,
    completions: u32,
    relayed: bool,
}

impl<'a> ReplySink<'a> {
    /// A sink towards `caller`.
    pub(crate) fn new(caller: &'a mut WireLink, rule: HoldRule) -> Self {
        let streaming = rule == HoldRule::Never;
        Self {
            caller,
            rule,
            held: BytesMut::new(),
            streaming,
            completed: false,
            completions: 0,
            relayed: false,
        }
    }

    /// The caller's connection.
    pub(crate) fn caller(&mut self) -> &mut WireLink {
        self.caller
    }

    /// Takes a frame, or a part of one.
    pub(crate) fn push(&mut self, frame: &WireFrame) {
        let begins = matches!(frame.part, FramePart::Whole | FramePart::Start);
        if begins {
            self.record_tag(frame.tag);
        }
        self.write(&frame.bytes);
    }

    /// Takes bytes that were made up here.
    pub(crate) fn push_bytes(&mut self, bytes: &'static [u8]) {
        self.write(&Bytes::from_static(bytes));
    }

    /// Whether more is held than a commit may hold.
    pub(crate) fn exceeds_limit(&self) -> bool {
        self.held.len() > COMMIT_HELD_MAX
    }

    /// What is still held, for when the verdict over it is known.
    pub(crate) fn into_held(self) -> HeldReplies {
        HeldReplies { bytes: self.held, relayed: self.relayed, completions: self.completions }
    }

    fn release(&mut self) {
        self.relayed |= !self.held.is_empty();
        let held = self.held.split();
        self.caller.outgoing().extend_from_slice(&held);
    }

    fn record_tag(&mut self, frame_tag: u8) {
        match frame_tag {
            tag::DATA_ROW | tag::COPY_OUT | tag::COPY_IN | tag::PORTAL_SUSPENDED => self.stream(),
            tag::COMMAND_COMPLETE => {
                self.completions += 1;
                if self.rule == HoldRule::UntilCommit {
                    self.completed = true;
                }
            }
            _ => {}
        }
    }

    fn stream(&mut self) {
        if !self.streaming && !self.completed {
            self.streaming = true;
            self.release();
        }
    }

    fn write(&mut self, bytes: &Bytes) {
        if self.streaming && !self.completed {
            self.relayed = true;
            self.caller.outgoing().extend_from_slice(bytes);
            return;
        }
        self.held.extend_from_slice(bytes);
        if self.rule == HoldRule::UntilRow && self.held.len() > READ_HELD_MAX {
            self.stream();
        }
    }
}
