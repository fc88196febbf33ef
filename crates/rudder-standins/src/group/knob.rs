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
///
/// Each can be turned on any member by SQL too, as `SELECT standin.lag(200)` for the member that
/// receives the statement or `SELECT standin.lag('orders-2', 200)` for another one. Times are in
/// milliseconds and may have a fraction. A killed or frozen member is reached by way of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberKnob {
    /// Entries are applied this long after they were received: `lag(ms)`.
    ApplyLag(Duration),
    /// Entries are received this long after they were appended: `link(ms)`.
    LinkDelay(Duration),
    /// Stops (true) or resumes (false) receiving entries: `pause()`, `resume()`.
    Paused(bool),
    /// Closes the listener and resets all connections; log and accepted term last: `kill()`.
    Kill,
    /// Brings a killed member back as a replica that follows nobody: `restart()`.
    Restart,
    /// Stops (true) or resumes (false) answering; connections stay accepted: `freeze()`,
    /// `thaw()`.
    Frozen(bool),
    /// Cuts (true) or heals (false) replication with all other members, both ways: `cut()`,
    /// `heal()`.
    Cut(bool),
    /// Speed of the hardware, by which service times are divided: `speed(percent)`.
    Speed(MemberSpeed),
    /// Mean service time of a statement at full speed, and its spread: `service_time(ms)`,
    /// `service_time(ms, 'exponential')`.
    ServiceTime(Duration, ServiceSpread),
    /// How many statements run at the same time, of those that come from now on:
    /// `slots(count)`.
    Slots(SlotCount),
    /// How many connections are accepted: `connections(count)`.
    Connections(ConnectionCount),
    /// How long a new connection takes: `connect_time(ms)`.
    ConnectTime(Duration),
}

/// A knob turned by SQL: the member that received the statement, unless one is named.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnobCommand {
    pub(crate) member: Option<MemberName>,
    pub(crate) knob: MemberKnob,
}
