//! Which readers watch the primary of a service, and how often.
//!
//! Load pattern: a fleet before a thousand services, most of which see a statement or two a second.
//! If every reader sampled every primary four times a second, samples would outnumber statements,
//! and each primary would hold a connection for each reader. Therefore the rate of one reader is
//! limited: beyond it, each service has a few watchers among the readers, and the interval grows
//! with the number of services per reader.

use rudder_core::{InstanceName, ServiceName};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Interval between samples of a primary that is watched closely. A read with a staleness bound
/// needs a sample within its bound (a second or more), and a lost primary must be detected within
/// half a second.
const CLOSE_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of samples that one reader takes per second. Each costs about a tenth of a
/// millisecond of a core.
const SAMPLES_PER_SECOND_MAX: usize = 200;

/// Number of watchers of a service whose primary is not watched by all readers. Two that cannot
/// reach it are more than half, and one with a cut link is not.
const WATCHERS: usize = 3;

/// Watchers of all services.
///
/// ```
/// use rudder_decisions::WatchPlan;
/// use std::time::Duration;
/// let small = WatchPlan::new(3, 6);
/// assert!(small.is_close());
/// let large = WatchPlan::new(1000, 6);
/// assert!(!large.is_close());
/// assert_eq!(large.interval(), Duration::from_millis(2500));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPlan {
    services: usize,
    readers: usize,
}

impl WatchPlan {
    /// Creates the plan for a number of services and of readers.
    ///
    /// See the example of [`WatchPlan`].
    #[must_use]
    pub fn new(services: usize, readers: usize) -> Self {
        Self { services, readers: readers.max(1) }
    }

    /// Whether all readers watch all primaries closely, so that the positions of all primaries are
    /// known everywhere.
    ///
    /// See the example of [`WatchPlan`].
    #[must_use]
    pub fn is_close(self) -> bool {
        self.interval_of(self.services) <= CLOSE_INTERVAL
    }

    /// Returns the interval between two samples of a primary by one of its watchers.
    ///
    /// See the example of [`WatchPlan`].
    #[must_use]
    pub fn interval(self) -> Duration {
        if self.is_close() {
            return CLOSE_INTERVAL;
        }
        let watched = (self.services * WATCHERS.min(self.readers)).div_ceil(self.readers);
        self.interval_of(watched).max(CLOSE_INTERVAL)
    }

    fn interval_of(self, watched: usize) -> Duration {
        let milliseconds = (watched * 1000).div_ceil(SAMPLES_PER_SECOND_MAX);
        Duration::from_millis(u64::try_from(milliseconds).unwrap_or(u64::MAX))
    }

    /// Returns whether `instance`, one of the `readers`, watches the primary of `service`: all do
    /// if they watch closely, and otherwise the first ones in a rendezvous order.
    ///
    /// ```
    /// use rudder_decisions::WatchPlan;
    /// let readers = ["entry-1".parse()?, "entry-2".parse()?, "entry-3".parse()?, "entry-4".parse()?];
    /// let service = "records".parse()?;
    /// let watchers = |plan: WatchPlan| {
    ///     readers.iter().filter(|reader| plan.watches(&service, reader, readers.iter())).count()
    /// };
    /// assert_eq!(watchers(WatchPlan::new(3, 4)), 4);
    /// assert_eq!(watchers(WatchPlan::new(1000, 4)), 3);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn watches<'a>(
        self,
        service: &ServiceName,
        instance: &InstanceName,
        mut readers: impl Iterator<Item = &'a InstanceName>,
    ) -> bool {
        if self.is_close() {
            return readers.any(|reader| reader == instance);
        }
        let seed = xxh3_64(service.as_str().as_bytes());
        let hash = |reader: &InstanceName| xxh3_64_with_seed(reader.as_str().as_bytes(), seed);
        let own = hash(instance);
        let (mut is_reader, mut ahead) = (false, 0);
        for reader in readers {
            is_reader |= reader == instance;
            ahead += usize::from(hash(reader) < own);
        }
        is_reader && ahead < WATCHERS
    }
}
