//! Part of the fleet that an owner's grants apply to.
//!
//! Load pattern: a network partition leaves two sets of instances without any link, and the store
//! serves both. Neither set can tell the other's failure from the partition, so both have an owner
//! for each account, and a caller in either set could use the whole limit. Each owner therefore
//! grants the part of the limit that corresponds to the part of the listed instances in its set. As
//! the sets are disjoint, the parts add up to the limit.
//!
//! The hubs of each failure domain count the instances of their domain whose heartbeats they
//! receive. They report the count to the hubs of the other domains, and the counts of all domains
//! to the instances of their own.

use super::bucket::OperationLimit;
use rudder_core::{DomainName, InstanceName};
use std::time::Duration;

/// Time for which a heartbeat or a report counts. It exceeds the interval between two of them, and
/// the reports that follow the loss of a heartbeat arrive before the successor of an unreachable
/// owner grants in full.
const REACH_TIMEOUT: Duration = Duration::from_millis(1400);

/// Thousandths by which an owner's part of a limit may exceed its part of the fleet, so that single
/// lost heartbeats and stopped instances do not reduce a limit. Two sets together exceed it by no more.
const EXCESS_PERMILLE: u64 = 50;

/// Maximum number of reports that are kept.
const REPORTS_MAX: usize = 64;

/// Number of listed instances, and of those that are connected to an owner.
///
/// ```
/// use rudder_decisions::{FleetReach, OperationLimit};
/// let limit = OperationLimit { milli_per_second: 10_000, burst: 10 };
/// assert_eq!(FleetReach { reached: 9, listed: 10 }.part_of(limit).milli_per_second, 9450);
/// assert_eq!(FleetReach { reached: 29, listed: 30 }.part_of(limit), limit);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetReach {
    /// Number of listed instances that are connected to the owner, including itself.
    pub reached: usize,
    /// Number of listed instances.
    pub listed: usize,
}

impl FleetReach {
    /// Returns the part of a limit that an owner with this reach may grant.
    ///
    /// See the example of [`FleetReach`].
    #[must_use]
    pub fn part_of(self, limit: OperationLimit) -> OperationLimit {
        let permille = self.permille();
        let part = |operations: u64| operations.saturating_mul(permille) / 1000;
        OperationLimit {
            milli_per_second: part(limit.milli_per_second),
            burst: u32::try_from(part(limit.burst.into())).unwrap_or(limit.burst),
        }
    }

    /// Returns the thousandths of a limit that an owner with this reach may grant.
    ///
    /// ```
    /// assert_eq!(rudder_decisions::FleetReach { reached: 1, listed: 2 }.permille(), 525);
    /// ```
    #[must_use]
    pub fn permille(self) -> u64 {
        let (reached, listed) = (self.reached as u64, self.listed.max(1) as u64);
        (reached * (1000 + EXCESS_PERMILLE) / listed).min(1000)
    }
}

/// Number of instances of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainCount {
    /// Failure domain.
    pub domain: DomainName,
    /// Number of its instances.
    pub count: usize,
}

/// Instances that a hub receives heartbeats from, and what it knows of other domains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachReport {
    /// Hub that sends the report.
    pub reporter: InstanceName,
    /// Its failure domain, with the number of instances there whose heartbeats it receives,
    /// including itself.
    pub own: DomainCount,
    /// Other domains whose hubs have reported to it, with what they report now.
    pub others: Vec<DomainCount>,
}

/// Reports of other instances.
///
/// ```
/// use rudder_decisions::{DomainCount, FleetReach, ReachBoard, ReachReport};
/// use std::time::Duration;
/// let count = |domain: &str, count| DomainCount { domain: domain.parse().expect("a name"), count };
/// let listed = [count("north", 3), count("south", 3)];
/// let ms = Duration::from_millis;
/// let mut board = ReachBoard::new("north".parse()?);
/// assert_eq!(board.reach(Some(3), &listed, ms(0)), FleetReach { reached: 6, listed: 6 });
/// let (reporter, own) = ("entry-1".parse()?, count("south", 2));
/// board.record(ReachReport { reporter, own, others: Vec::new() }, ms(0));
/// assert_eq!(board.reach(Some(3), &listed, ms(100)), FleetReach { reached: 5, listed: 6 });
/// assert_eq!(board.reach(Some(3), &listed, ms(1400)), FleetReach { reached: 3, listed: 6 });
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug)]
pub struct ReachBoard {
    own_domain: DomainName,
    /// Last report of each instance, with the time of its receipt, sorted by reporter.
    reports: Vec<(ReachReport, Duration)>,
    /// Domains whose instances have reported, sorted. The hubs of other domains may be of an older
    /// build, which sends no reports.
    reporting_domains: Vec<DomainName>,
}

impl ReachBoard {
    /// Creates the board of an instance in a failure domain.
    ///
    /// See the example of [`ReachBoard`].
    #[must_use]
    pub fn new(own_domain: DomainName) -> Self {
        Self { own_domain, reports: Vec::new(), reporting_domains: Vec::new() }
    }

    /// Returns how long a heartbeat counts as a sign of its sender.
    ///
    /// ```
    /// use rudder_decisions::ReachBoard;
    /// assert!(ReachBoard::heartbeat_timeout().as_millis() > 1250);
    /// ```
    #[must_use]
    pub fn heartbeat_timeout() -> Duration {
        REACH_TIMEOUT
    }

    /// Records a report, which replaces the previous one of the same instance. Returns whether the
    /// report was accepted; there is an upper bound to the number of reporters.
    ///
    /// See the example of [`ReachBoard`].
    pub fn record(&mut self, report: ReachReport, now: Duration) -> bool {
        self.reports.retain(|(_, at)| is_current(*at, now));
        let domains = report.others.iter().map(|known| &known.domain).chain([&report.own.domain]);
        for domain in domains {
            if let Err(index) = self.reporting_domains.binary_search(domain) {
                self.reporting_domains.insert(index, domain.clone());
            }
        }
        match self.reports.binary_search_by(|(known, _)| known.reporter.cmp(&report.reporter)) {
            Ok(index) => self.reports[index] = (report, now),
            Err(_) if self.reports.len() >= REPORTS_MAX => return false,
            Err(index) => self.reports.insert(index, (report, now)),
        }
        true
    }

    /// Returns the counts of the other domains that have reported, for a report of this instance.
    ///
    /// ```
    /// use rudder_decisions::ReachBoard;
    /// let board = ReachBoard::new("north".parse()?);
    /// assert!(board.other_counts(std::time::Duration::ZERO).is_empty());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn other_counts(&self, now: Duration) -> Vec<DomainCount> {
        let others = self.reporting_domains.iter().filter(|domain| **domain != self.own_domain);
        let count = |domain: &DomainName| DomainCount {
            domain: domain.clone(),
            count: self.reported_count(domain, now).unwrap_or(0),
        };
        others.map(count).collect()
    }

    /// Returns the instances of which reports are current.
    ///
    /// ```
    /// use rudder_decisions::ReachBoard;
    /// let board = ReachBoard::new("north".parse()?);
    /// assert_eq!(board.reporters(std::time::Duration::ZERO).count(), 0);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn reporters(&self, now: Duration) -> impl Iterator<Item = &InstanceName> {
        self.current(now).map(|report| &report.reporter)
    }

    /// Returns the reach of this instance, given the listed instances of each domain and, on a hub,
    /// the number of instances of its own domain whose heartbeats it receives.
    ///
    /// See the example of [`ReachBoard`].
    #[must_use]
    pub fn reach(
        &self,
        own_count: Option<usize>,
        listed: &[DomainCount],
        now: Duration,
    ) -> FleetReach {
        let direct = own_count.map(|count| self.direct_reach(count, listed, now));
        let near = self.current(now).filter(|report| report.own.domain == self.own_domain);
        let reported = near.map(|report| self.reported_reach(report, listed)).max();
        let unreported = if self.reporting_domains.is_empty() { usize::MAX } else { 1 };
        let listed = listed.iter().map(|domain| domain.count).sum();
        let reached = direct.max(reported).unwrap_or(unreported);
        FleetReach { reached: reached.min(listed), listed }
    }

    fn direct_reach(&self, own_count: usize, listed: &[DomainCount], now: Duration) -> usize {
        let count = |listed: &DomainCount| {
            if listed.domain == self.own_domain {
                return own_count.min(listed.count);
            }
            let reported = self.reported_count(&listed.domain, now);
            reported.unwrap_or(self.unreported_count(listed)).min(listed.count)
        };
        listed.iter().map(count).sum()
    }

    /// Returns the reach that a report of a hub of this instance's domain shows.
    fn reported_reach(&self, report: &ReachReport, listed: &[DomainCount]) -> usize {
        let reported = |domain: &DomainName| {
            let mut counts = report.others.iter().chain([&report.own]);
            counts.find(|known| known.domain == *domain).map(|known| known.count)
        };
        let count = |listed: &DomainCount| {
            reported(&listed.domain).unwrap_or(self.unreported_count(listed)).min(listed.count)
        };
        listed.iter().map(count).sum()
    }

    /// Returns the greatest count that hubs of a domain currently report.
    fn reported_count(&self, domain: &DomainName, now: Duration) -> Option<usize> {
        let of_domain = self.current(now).filter(|report| report.own.domain == *domain);
        of_domain.map(|report| report.own.count).max()
    }

    /// Returns the count of a domain without a current report: all of its instances if its hubs
    /// have never reported, as those of an older build do not.
    fn unreported_count(&self, listed: &DomainCount) -> usize {
        match self.reporting_domains.binary_search(&listed.domain) {
            Ok(_) => 0,
            Err(_) => listed.count,
        }
    }

    fn current(&self, now: Duration) -> impl Iterator<Item = &ReachReport> {
        let is_current = move |(_, at): &&(ReachReport, Duration)| is_current(*at, now);
        self.reports.iter().filter(is_current).map(|(report, _)| report)
    }
}

fn is_current(at: Duration, now: Duration) -> bool {
    now < at + REACH_TIMEOUT
}
