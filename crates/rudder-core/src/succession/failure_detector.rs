//! Failure detection for a primary, from failed requests and probes of this observer and from the
//! votes of other observers.

use crate::ident::{DomainName, InstanceName};
use crate::plain_data;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Minimum number of consecutive failures before an observer votes. An observer that was suspended
/// sees a long time without a response when it resumes, so the elapsed time alone is not enough.
const FAILURES_MIN: u32 = 2;

/// Number of consecutive responses that withdraw the observer's own vote, so that a flapping link
/// does not reset it.
const RESPONSES_TO_CLEAR: u32 = 2;

/// Factor by which an observer waits longer if it receives votes from too few failure domains.
const ISOLATED_TIMEOUT_FACTOR: u32 = 2;

/// An observer's vote on a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// The primary responded recently.
    #[serde(rename = "heard")]
    Reachable,
    /// The primary has not responded for too long.
    #[serde(rename = "unheard")]
    Unreachable,
}

plain_data! {
    /// The latest vote of one observer.
    pub struct ObserverVote {
        /// The observing instance.
        pub observer: InstanceName,
        /// The failure domain of that instance.
        pub domain: DomainName,
        /// The vote.
        pub kind: VoteKind,
        /// Time at which the vote arrived at this instance.
        pub at: Duration,
    }
}

plain_data! {
    /// One observer's failure detector for one primary. Times count from an origin chosen by the
    /// owner.
    pub struct FailureDetector {
        suspect_after: Duration,
        domain: DomainName,
        domains_expected: usize,
        last_response_at: Duration,
        last_failure_at: Duration,
        failures: u32,
        responses: u32,
        unreachable: bool,
        votes: Vec<ObserverVote>,
    }
}

impl FailureDetector {
    /// Creates a detector for a primary that has responded just now.
    ///
    /// `domains_expected` is the number of failure domains that have an observer, including this
    /// observer's own.
    ///
    /// ```
    /// use rudder_core::FailureDetector;
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(800);
    /// let detector = FailureDetector::new(bound, "kigali-a".parse()?, 1, Duration::ZERO);
    /// assert!(!detector.is_suspected(Duration::ZERO));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn new(
        suspect_after: Duration,
        domain: DomainName,
        domains_expected: usize,
        now: Duration,
    ) -> Self {
        Self {
            suspect_after,
            domain,
            domains_expected,
            last_response_at: now,
            last_failure_at: now,
            failures: 0,
            responses: RESPONSES_TO_CLEAR,
            unreachable: false,
            votes: Vec::new(),
        }
    }

    /// Records a response of the primary to a statement that was sent at `sent_at`.
    ///
    /// ```
    /// use rudder_core::{FailureDetector, VoteKind};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(800);
    /// let mut detector = FailureDetector::new(bound, "kigali-a".parse()?, 1, Duration::ZERO);
    /// detector.record_response(bound);
    /// assert_eq!(detector.own_vote(bound), VoteKind::Reachable);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn record_response(&mut self, sent_at: Duration) {
        self.last_response_at = self.last_response_at.max(sent_at);
        self.failures = 0;
        self.responses = self.responses.saturating_add(1);
        // A link that drops nine responses in ten still delivers single ones, so one response alone
        // does not withdraw a vote.
        if self.responses >= RESPONSES_TO_CLEAR {
            self.unreachable = false;
        }
    }

    /// Records a failed request or probe.
    ///
    /// ```
    /// use rudder_core::{FailureDetector, VoteKind};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(800);
    /// let mut detector = FailureDetector::new(bound, "kigali-a".parse()?, 1, Duration::ZERO);
    /// detector.record_failure(bound);
    /// detector.record_failure(bound);
    /// assert_eq!(detector.own_vote(bound), VoteKind::Unreachable);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn record_failure(&mut self, now: Duration) {
        self.failures = self.failures.saturating_add(1);
        self.last_failure_at = now;
        self.responses = 0;
        self.unreachable |= self.is_unresponsive(now);
    }

    /// Resets the detector for a primary that was just confirmed. Votes on the previous primary are
    /// dropped.
    ///
    /// ```
    /// use rudder_core::FailureDetector;
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(800);
    /// let mut detector = FailureDetector::new(bound, "kigali-a".parse()?, 1, Duration::ZERO);
    /// detector.record_failure(bound);
    /// detector.record_failure(bound);
    /// detector.reset(bound);
    /// assert!(!detector.is_suspected(bound));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn reset(&mut self, now: Duration) {
        self.last_response_at = now;
        self.failures = 0;
        self.responses = RESPONSES_TO_CLEAR;
        self.unreachable = false;
        self.votes.clear();
    }

    /// Records the vote of another observer, which replaces that observer's earlier vote.
    ///
    /// ```
    /// use rudder_core::{FailureDetector, ObserverVote, VoteKind};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(800);
    /// let mut detector = FailureDetector::new(bound, "kigali-a".parse()?, 2, Duration::ZERO);
    /// detector.record_vote(ObserverVote {
    ///     observer: "inst-2".parse()?,
    ///     domain: "nairobi-a".parse()?,
    ///     kind: VoteKind::Unreachable,
    ///     at: Duration::ZERO,
    /// });
    /// assert!(!detector.is_suspected(Duration::ZERO));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn record_vote(&mut self, vote: ObserverVote) {
        match self.votes.binary_search_by(|known| known.observer.cmp(&vote.observer)) {
            Ok(index) if self.votes[index].at <= vote.at => self.votes[index] = vote,
            Ok(_) => {}
            Err(index) => self.votes.insert(index, vote),
        }
    }

    /// Returns this observer's vote, to be sent to the other observers.
    ///
    /// ```
    /// use rudder_core::{FailureDetector, VoteKind};
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(800);
    /// let detector = FailureDetector::new(bound, "kigali-a".parse()?, 1, Duration::ZERO);
    /// assert_eq!(detector.own_vote(bound), VoteKind::Reachable);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn own_vote(&self, now: Duration) -> VoteKind {
        let is_unreachable = self.unreachable || self.is_unresponsive(now);
        if is_unreachable { VoteKind::Unreachable } else { VoteKind::Reachable }
    }

    /// Returns the earliest time at which this observer's vote can become `Unreachable` without a
    /// response, or `None` if no request has failed since the last response.
    ///
    /// ```
    /// use rudder_core::FailureDetector;
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(800);
    /// let detector = FailureDetector::new(bound, "kigali-a".parse()?, 1, Duration::ZERO);
    /// assert_eq!(detector.deadline(), None);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn deadline(&self) -> Option<Duration> {
        (self.failures > 0).then(|| self.last_response_at + self.suspect_after)
    }

    /// Returns whether enough requests have failed and the last response is too old.
    ///
    /// An observer that was suspended sees an old response when it resumes, but the primary responds
    /// to its next probe, so it does not count enough failures to vote.
    fn is_unresponsive(&self, now: Duration) -> bool {
        self.failures >= FAILURES_MIN && now >= self.last_response_at + self.suspect_after
    }

    /// Returns whether the primary is suspected: this observer votes `Unreachable`, and so does a
    /// majority of the failure domains with a current vote.
    ///
    /// ```
    /// use rudder_core::FailureDetector;
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(800);
    /// let mut detector = FailureDetector::new(bound, "kigali-a".parse()?, 1, Duration::ZERO);
    /// detector.record_failure(bound);
    /// detector.record_failure(bound);
    /// assert!(detector.is_suspected(bound));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn is_suspected(&self, now: Duration) -> bool {
        if self.own_vote(now) == VoteKind::Reachable {
            return false;
        }
        // Only a recent failure counts: if this process was suspended while it suspected the
        // primary, the group may have a new primary by the time it resumes.
        if now >= self.last_failure_at + self.suspect_after {
            return false;
        }
        let domains = self.domain_votes(now);
        let unreachable = domains.iter().filter(|(_, kind)| *kind == VoteKind::Unreachable).count();
        // If a single link fails, only the observer behind it votes `Unreachable`, and the other
        // failure domains outvote it.
        if 2 * unreachable <= domains.len() {
            return false;
        }
        // An instance that is itself isolated receives too few other votes to be outvoted. It
        // waits longer, and its fence statements then do not reach a majority of the members.
        let is_isolated = 2 * domains.len() <= self.domains_expected;
        !is_isolated || now >= self.last_response_at + ISOLATED_TIMEOUT_FACTOR * self.suspect_after
    }

    /// Sets the number of failure domains that have an observer.
    ///
    /// ```
    /// use rudder_core::FailureDetector;
    /// use std::time::Duration;
    /// let bound = Duration::from_millis(800);
    /// let mut detector = FailureDetector::new(bound, "kigali-a".parse()?, 1, Duration::ZERO);
    /// detector.set_domains_expected(3);
    /// assert!(!detector.is_suspected(Duration::ZERO));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn set_domains_expected(&mut self, domains_expected: usize) {
        self.domains_expected = domains_expected;
    }

    /// Returns one vote for each failure domain with a vote that has not expired. A domain votes
    /// `Unreachable` only if all its observers do.
    fn domain_votes(&self, now: Duration) -> Vec<(&DomainName, VoteKind)> {
        let own = (&self.domain, self.own_vote(now));
        let live = self.votes.iter().filter(|vote| now < vote.at + self.suspect_after);
        let mut votes: Vec<_> = live.map(|vote| (&vote.domain, vote.kind)).collect();
        votes.push(own);
        votes.sort_by(|left, right| left.0.cmp(right.0));
        votes.dedup_by(|later, kept| {
            let same = later.0 == kept.0;
            if same && later.1 == VoteKind::Reachable {
                kept.1 = VoteKind::Reachable;
            }
            same
        });
        votes
    }
}
