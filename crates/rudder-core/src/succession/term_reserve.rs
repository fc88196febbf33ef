//! The reserved terms of one run, each of which is used at most once.

use super::grant::SuccessionGrant;
use super::reservation::{TermReservation, WriterMark};
use crate::plain_data;
use crate::stamp::LogTerm;

plain_data! {
    /// The terms reserved for one run of an instance, and the last one that it used.
    pub struct TermReserve {
        incarnation: WriterMark,
        reserved: Option<TermReservation>,
        last_used: LogTerm,
    }
}

impl TermReserve {
    /// Creates an empty reserve for the run with the mark `incarnation`.
    ///
    /// ```
    /// use rudder_core::{LogTerm, TermReserve, WriterMark};
    /// let mut reserve = TermReserve::new(WriterMark::random());
    /// assert_eq!(reserve.use_next(LogTerm(4)), None);
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
    /// use rudder_core::{LogTerm, SuccessionGrant, TermReserve, WriterMark};
    /// let mut reserve = TermReserve::new(WriterMark::random());
    /// let grant = SuccessionGrant::first("inst-1".parse()?, LogTerm(1), WriterMark::random());
    /// let run = rudder_core::KeeperRun {
    ///     instance: "inst-1".parse()?,
    ///     incarnation: reserve.incarnation().clone(),
    /// };
    /// let grant = grant.reserve_terms(&run, &["inst-1".parse()?], LogTerm(1)).unwrap();
    /// reserve.update(&grant);
    /// assert_eq!(reserve.use_next(LogTerm(1)), Some(LogTerm(2)));
    /// assert_eq!(reserve.use_next(LogTerm(1)), Some(LogTerm(3)));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn update(&mut self, grant: &SuccessionGrant) {
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
    /// use rudder_core::{LogTerm, TermReserve, WriterMark};
    /// assert!(TermReserve::new(WriterMark::random()).use_next(LogTerm(0)).is_none());
    /// ```
    pub fn use_next(&mut self, accepted: LogTerm) -> Option<LogTerm> {
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
    /// use rudder_core::{LogTerm, TermReserve, WriterMark};
    /// assert!(!TermReserve::new(WriterMark::random()).is_usable(LogTerm(0)));
    /// ```
    #[must_use]
    pub fn is_usable(&self, accepted: LogTerm) -> bool {
        let floor = accepted.max(self.last_used);
        self.reserved.as_ref().is_some_and(|reserved| reserved.usable_count(floor) > 0)
    }
}
