//! The reserved terms of one run, each of which is used at most once.

use super::grant::SuccessionGrant;
use super::reservation::{TermReservation, WriterMark};
use crate::plain_data;
use crate::stamp::LogTerm;

plain_data! {
    /// The terms reserved for one run of an instance, and the last one that it used.
    pub struct TermPurse {
        incarnation: WriterMark,
        reserved: Option<TermReservation>,
        last_used: LogTerm,
    }
}

impl TermPurse {
    /// Creates an empty purse for the run with the mark `incarnation`.
    ///
    /// ```
    /// use rudder_core::{LogTerm, TermPurse, WriterMark};
    /// let mut purse = TermPurse::new(WriterMark::random());
    /// assert_eq!(purse.spend(LogTerm(4)), None);
    /// ```
    #[must_use]
    pub const fn new(incarnation: WriterMark) -> Self {
        Self { incarnation, reserved: None, last_used: LogTerm(0) }
    }

    /// Returns the mark of this run.
    #[must_use]
    pub const fn incarnation(&self) -> &WriterMark {
        &self.incarnation
    }

    /// Stores the terms that a grant reserves for this run.
    ///
    /// ```
    /// use rudder_core::{LogTerm, SuccessionGrant, TermPurse, WriterMark};
    /// let mut purse = TermPurse::new(WriterMark::random());
    /// let grant = SuccessionGrant::first("inst-1".parse()?, LogTerm(1), WriterMark::random());
    /// let seat = rudder_core::KeeperSeat {
    ///     instance: "inst-1".parse()?,
    ///     incarnation: purse.incarnation().clone(),
    /// };
    /// let grant = grant.enrol(&seat, &["inst-1".parse()?], LogTerm(1)).unwrap();
    /// purse.refill(&grant);
    /// assert_eq!(purse.spend(LogTerm(1)), Some(LogTerm(2)));
    /// assert_eq!(purse.spend(LogTerm(1)), Some(LogTerm(3)));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn refill(&mut self, grant: &SuccessionGrant) {
        let Some(entry) = grant.reserved_for(&self.incarnation) else { return };
        // A stale read of the grant contains an earlier, lower reservation, which is ignored.
        if self.reserved.as_ref().is_none_or(|reserved| reserved.first < entry.first) {
            self.reserved = Some(entry.clone());
        }
    }

    /// Returns the lowest unused reserved term that is greater than `accepted`, the greatest term
    /// that members are known to have accepted, and marks it as used.
    ///
    /// ```
    /// use rudder_core::{LogTerm, TermPurse, WriterMark};
    /// assert!(TermPurse::new(WriterMark::random()).spend(LogTerm(0)).is_none());
    /// ```
    pub fn spend(&mut self, accepted: LogTerm) -> Option<LogTerm> {
        // Two plans must not share a term: an unanswered promotion of the first plan may still
        // take effect after the second one has promoted another member.
        let floor = accepted.max(self.last_used);
        let term = self.reserved.as_ref()?.terms().find(|term| *term > floor)?;
        self.last_used = term;
        Some(term)
    }

    /// Returns whether an unused reserved term is available that members would accept.
    ///
    /// ```
    /// use rudder_core::{LogTerm, TermPurse, WriterMark};
    /// assert!(!TermPurse::new(WriterMark::random()).is_usable(LogTerm(0)));
    /// ```
    #[must_use]
    pub fn is_usable(&self, accepted: LogTerm) -> bool {
        let floor = accepted.max(self.last_used);
        self.reserved.as_ref().is_some_and(|reserved| reserved.usable_count(floor) > 0)
    }
}
