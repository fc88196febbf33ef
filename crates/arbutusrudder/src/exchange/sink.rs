//! Buffers replies to the caller. They are held while the batch may still be retried at another
//! member, and from the first completion on until the commit is acknowledged.

use bytes::{Bytes, BytesMut};
use rudder_endpoint::{FramePart, WireFrame, WireLink, tag};

/// Bytes of a read's replies held for a possible retry; above this they are sent to the caller.
const READ_HELD_MAX: usize = 256 * 1024;

/// Maximum bytes of replies held until a commit is acknowledged; above this the batch fails.
const COMMIT_HELD_MAX: usize = 16 * 1024 * 1024;

/// How long replies are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HoldRule {
    /// Until the first row: after an error before it, another member may still serve the batch.
    UntilRow,
    /// As `UntilRow`, and again from the first completion until the commit is acknowledged.
    UntilCommit,
    /// Never held.
    Never,
}

/// The replies that are still held at the end of a batch.
#[derive(Debug)]
pub(crate) struct HeldReplies {
    bytes: BytesMut,
    /// Whether part of the response was already passed on to the caller.
    pub(crate) relayed: bool,
    /// Number of statements that completed.
    pub(crate) completions: u32,
}

impl HeldReplies {
    /// Passes the replies on to the caller; dropping `self` instead discards them.
    pub(crate) fn release(self, caller: &mut WireLink) {
        caller.write_buffer().extend_from_slice(&self.bytes);
    }
}

/// Destination of the replies of one batch.
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
    /// Creates a sink that writes to `caller`.
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

    /// Returns the caller's connection.
    pub(crate) fn caller(&mut self) -> &mut WireLink {
        self.caller
    }

    /// Adds a frame or a part of one.
    pub(crate) fn push(&mut self, frame: &WireFrame) {
        let begins = matches!(frame.part, FramePart::Whole | FramePart::Start);
        if begins {
            self.record_tag(frame.tag);
        }
        self.write(&frame.bytes);
    }

    /// Adds the bytes of a reply that this proxy generated.
    pub(crate) fn push_bytes(&mut self, bytes: &'static [u8]) {
        self.write(&Bytes::from_static(bytes));
    }

    /// Whether the held bytes exceed the limit for a commit.
    pub(crate) fn exceeds_limit(&self) -> bool {
        self.held.len() > COMMIT_HELD_MAX
    }

    /// Returns the held replies, to be released or discarded once the outcome is known.
    pub(crate) fn into_held(self) -> HeldReplies {
        HeldReplies { bytes: self.held, relayed: self.relayed, completions: self.completions }
    }

    fn release(&mut self) {
        self.relayed |= !self.held.is_empty();
        let held = self.held.split();
        self.caller.write_buffer().extend_from_slice(&held);
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
            self.caller.write_buffer().extend_from_slice(bytes);
            return;
        }
        self.held.extend_from_slice(bytes);
        if self.rule == HoldRule::UntilRow && self.held.len() > READ_HELD_MAX {
            self.stream();
        }
    }
}
