//! Stand-ins for what surrounds the proxy, for tests, examples and measurements.

mod platform;

pub use platform::{CallCounts, PlatformFaults, PlatformOutage, PlatformStandin, StandinInstance};
