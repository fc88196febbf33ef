//! The knobs by which tests and measurements bring about faults.

use rudder_core::{ConnectionCount, MemberName, MemberSpeed, SlotCount};
use std::time::Duration;

/// How the service times of statements are spread around their mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceSpread {
    /// Every statement takes the mean.
    Fixed,
    /// Exponential, from the group's seeded generator.
    Exponential,
}

/// One change of a member's behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberKnob {
    /// Entries are applied this long after they were received.
    ApplyLag(Duration),
    /// Entries are received this long after they were appended.
    LinkDelay(Duration),
    /// Stops (true) or resumes (false) receiving entries.
    Paused(bool),
    /// Closes the listener and resets all connections; log and accepted term last.
    Kill,
    /// Brings a killed member back as a replica that follows nobody.
    Restart,
    /// Stops (true) or resumes (false) answering; connections stay accepted.
    Frozen(bool),
    /// Cuts (true) or heals (false) replication with all other members, both ways.
    Cut(bool),
    /// Speed of the hardware; service times are divided by it.
    Speed(MemberSpeed),
    /// Mean service time of a statement at full speed, and its spread.
    ServiceTime(Duration, ServiceSpread),
    /// How many statements run at the same time.
    Slots(SlotCount),
    /// How many connections are accepted.
    Connections(ConnectionCount),
    /// How long a new connection takes.
    ConnectTime(Duration),
}

/// A knob turned by SQL: the member that received the statement, unless one is named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnobCommand {
    pub(crate) member: Option<MemberName>,
    pub(crate) knob: MemberKnob,
}
