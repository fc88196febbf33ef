//! Capacity of an instance for the work of others.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Capacity that a link of 1 Mbit/s is worth. A forwarded statement with its reply takes about 4 KB
/// on the link and a third of a millisecond of a core, so that the link carries as many as a
/// hundredth of a core processes. Both are estimates; they only decide which of two limits counts.
const CAPACITY_PER_MBIT: f64 = 10.0;

/// Maximum capacity, that of a thousand cores.
const CAPACITY_MAX: f64 = 1e6;

/// Capacity of an instance, in thousandths of a core of normal speed. The default applies to
/// instances that state none, as older builds do; these accept no forwarded statements, so they
/// should rarely be the first holder.
///
/// ```
/// use rudder_decisions::InstanceCapacity;
/// assert_eq!(InstanceCapacity::of_machine(0.5, 0.8, 200.0), InstanceCapacity(400));
/// assert_eq!(InstanceCapacity::of_machine(0.5, 1.0, 10.0), InstanceCapacity(100), "its link");
/// assert_eq!(InstanceCapacity::default(), InstanceCapacity(1));
/// assert_eq!("400".parse(), Ok(InstanceCapacity(400)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceCapacity(pub u32);

impl Default for InstanceCapacity {
    fn default() -> Self {
        Self(1)
    }
}

impl InstanceCapacity {
    /// Returns the capacity of a machine with a processor share of `cores`, each `speed_factor`
    /// times as fast as normal, and a link of `mbits` per second; at least one.
    ///
    /// See the example of [`InstanceCapacity`].
    #[must_use]
    pub fn of_machine(cores: f64, speed_factor: f64, mbits: f64) -> Self {
        let capacity = (cores * speed_factor * 1000.0).min(mbits * CAPACITY_PER_MBIT);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        let rounded = capacity.round().clamp(1.0, CAPACITY_MAX) as u32;
        Self(rounded.max(1))
    }
}

impl fmt::Display for InstanceCapacity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for InstanceCapacity {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
