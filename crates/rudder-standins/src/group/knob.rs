//! Runtime changes of a member's behaviour, by which tests and measurements inject faults.

use rudder_core::{ConnectionCount, MemberName, MemberSpeed, SlotCount};
use std::time::Duration;

/// Distribution of the service times of statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceDistribution {
    /// Every statement takes the mean time.
    Fixed,
    /// Exponential distribution, drawn from the member's seeded generator.
    Exponential,
}

/// Change of a member's behaviour.
///
/// Each change can also be made by SQL: `SELECT standin.lag(200)` changes the member that receives
/// the statement, `SELECT standin.lag('orders-2', 200)` another member. Times are in milliseconds
/// and may have a fraction. Send the statement to another member if the target is killed or frozen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberKnob {
    /// Delay between receiving an entry and applying it: `lag(ms)`.
    ApplyLag(Duration),
    /// Delay between the primary's append of an entry and its receipt: `link(ms)`.
    LinkDelay(Duration),
    /// Stops (true) or resumes (false) receiving entries: `pause()`, `resume()`.
    Paused(bool),
    /// Closes the listener and resets all connections; the log and the accepted term are kept:
    /// `kill()`.
    Kill,
    /// Restarts a killed member as a replica without a source of entries: `restart()`.
    Restart,
    /// Stops (true) or resumes (false) all responses; connections are still accepted:
    /// `freeze()`, `thaw()`.
    Frozen(bool),
    /// Interrupts (true) or restores (false) replication with all other members, in both
    /// directions: `cut()`, `heal()`.
    Cut(bool),
    /// Hardware speed, by which service times are divided: `speed(percent)`.
    Speed(MemberSpeed),
    /// Mean service time of a statement at full speed, and its distribution: `service_time(ms)`,
    /// `service_time(ms, 'exponential')`.
    ServiceTime(Duration, ServiceDistribution),
    /// Maximum number of concurrent statements, for statements received from now on:
    /// `slots(count)`.
    Slots(SlotCount),
    /// Maximum number of connections: `connections(count)`.
    Connections(ConnectionCount),
    /// Time that it takes to open a connection: `connect_time(ms)`.
    ConnectTime(Duration),
}

/// Knob set by SQL. Without a name it applies to the member that received the statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KnobCommand {
    pub(crate) member: Option<MemberName>,
    pub(crate) knob: MemberKnob,
}
