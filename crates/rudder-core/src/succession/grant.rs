//! The object stored in the platform that assigns the terms of a group to instances.
//!
//! Every change is a conditional update, so the versions of the object form one chain. Each term
//! written into the object is assigned to one run of one instance and is greater than every term
//! in the earlier versions. Terms of different runs therefore differ, even if one run uses an old
//! copy of the object during an outage of the platform.

use super::reservation::{KeeperRun, TermReservation, WriterMark};
use crate::ident::{InstanceName, MemberName};
use crate::plain_data;
use crate::stamp::LogTerm;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

plain_data! {
    /// The object as it is stored.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "camelCase")]
    struct GrantRecord {
        term: LogTerm,
        holder: InstanceName,
        mark: WriterMark,
        primary: Option<MemberName>,
        primary_term: LogTerm,
        reserved: Vec<TermReservation>,
    }
}

/// Number of terms reserved for each run. Each promotion attempt during an outage of the platform
/// uses one.
const RESERVED_COUNT: u32 = 8;

/// Minimum number of usable terms; a run with fewer requests new ones.
const USABLE_MIN: usize = 4;

/// Maximum number of terms that a stored grant may reserve for one run.
const STORED_COUNT_MAX: u32 = 64;

/// Reason why a stored grant is invalid.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub enum GrantError {
    /// the succession grant reserves term {0} twice; remove one of the two entries
    ReservedTwice(LogTerm),
    /// the succession grant both grants and reserves term {0}; remove the reservation
    GrantedAndReserved(LogTerm),
    /// the succession grant reserves {0} terms for one run, more than it may; remove the entry
    TooMany(u32),
}

impl std::error::Error for GrantError {}

plain_data! {
    /// The assignment of one group's terms to instances.
    #[derive(Serialize, Deserialize)]
    #[serde(try_from = "GrantRecord", into = "GrantRecord")]
    pub struct SuccessionGrant {
        term: LogTerm,
        holder: InstanceName,
        mark: WriterMark,
        primary: Option<MemberName>,
        primary_term: LogTerm,
        reserved: Vec<TermReservation>,
    }
}

impl SuccessionGrant {
    /// Creates the first grant of a group whose members accepted no term above `accepted`.
    ///
    /// ```
    /// use rudder_core::{LogTerm, SuccessionGrant, WriterMark};
    /// let grant = SuccessionGrant::first("inst-1".parse()?, LogTerm(3), WriterMark::random());
    /// assert_eq!(grant.term(), LogTerm(3));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub const fn first(holder: InstanceName, accepted: LogTerm, mark: WriterMark) -> Self {
        let reserved = Vec::new();
        Self { term: accepted, holder, mark, primary: None, primary_term: LogTerm(0), reserved }
    }

    /// Returns the last term that was granted by a conditional update.
    #[must_use]
    pub const fn term(&self) -> LogTerm {
        self.term
    }

    /// Returns the instance that was granted that term.
    #[must_use]
    pub const fn holder(&self) -> &InstanceName {
        &self.holder
    }

    /// Returns the mark that the holder wrote with the update that granted it that term.
    #[must_use]
    pub const fn mark(&self) -> &WriterMark {
        &self.mark
    }

    /// Returns the last confirmed primary that was recorded, with its term.
    #[must_use]
    pub fn primary(&self) -> Option<(&MemberName, LogTerm)> {
        self.primary.as_ref().map(|primary| (primary, self.primary_term))
    }

    /// Returns the reservations, sorted by instance.
    #[must_use]
    pub fn reserved(&self) -> &[TermReservation] {
        &self.reserved
    }

    /// Returns the reservation of the run with the mark `incarnation`.
    ///
    /// ```
    /// use rudder_core::{LogTerm, SuccessionGrant, WriterMark};
    /// let grant = SuccessionGrant::first("inst-1".parse()?, LogTerm(3), WriterMark::random());
    /// assert!(grant.reserved_for(&WriterMark::random()).is_none());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn reserved_for(&self, incarnation: &WriterMark) -> Option<&TermReservation> {
        // The mark of the run is compared, not the instance name: a restarted instance must not
        // reuse a term that its earlier run has used.
        self.reserved.iter().find(|entry| entry.run.incarnation == *incarnation)
    }

    /// Returns the greatest term anywhere in the grant.
    ///
    /// ```
    /// use rudder_core::{LogTerm, SuccessionGrant, WriterMark};
    /// let grant = SuccessionGrant::first("inst-1".parse()?, LogTerm(3), WriterMark::random());
    /// assert_eq!(grant.highest_term(), LogTerm(3));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn highest_term(&self) -> LogTerm {
        let reserved = self.reserved.iter().flat_map(TermReservation::terms);
        reserved.chain([self.term, self.primary_term]).max().unwrap_or(self.term)
    }

    /// Returns the grant in which `holder` has the next term. `accepted` is the greatest term that
    /// members are known to have accepted.
    ///
    /// ```
    /// use rudder_core::{LogTerm, SuccessionGrant, WriterMark};
    /// let grant = SuccessionGrant::first("inst-1".parse()?, LogTerm(3), WriterMark::random());
    /// let granted = grant.grant_next_term("inst-2".parse()?, LogTerm(5), WriterMark::random());
    /// assert_eq!(granted.term(), LogTerm(6));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn grant_next_term(
        &self,
        holder: InstanceName,
        accepted: LogTerm,
        mark: WriterMark,
    ) -> Self {
        let mut next = self.clone();
        next.term = LogTerm(self.highest_term().max(accepted).0 + 1);
        next.holder = holder;
        next.mark = mark;
        next.reserve_new_terms(next.term);
        next
    }

    /// Returns the grant in which `run` has enough usable terms and only instances in
    /// `keepers` have reservations, or `None` if this grant already satisfies both. `accepted` is
    /// the greatest term that members are known to have accepted; members reject reserved terms up
    /// to it, so these are not usable.
    ///
    /// ```
    /// use rudder_core::{KeeperRun, LogTerm, SuccessionGrant, WriterMark};
    /// let grant = SuccessionGrant::first("inst-1".parse()?, LogTerm(3), WriterMark::random());
    /// let run = KeeperRun { instance: "inst-2".parse()?, incarnation: WriterMark::random() };
    /// let keepers = [run.instance.clone()];
    /// let grant = grant.reserve_terms(&run, &keepers, LogTerm(3)).unwrap();
    /// assert_eq!(grant.reserved()[0].first, LogTerm(4));
    /// assert!(grant.reserve_terms(&run, &keepers, LogTerm(3)).is_none());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn reserve_terms(
        &self,
        run: &KeeperRun,
        keepers: &[InstanceName],
        accepted: LogTerm,
    ) -> Option<Self> {
        let mut next = self.clone();
        next.reserved.retain(|entry| keepers.contains(&entry.run.instance));
        let has_enough = |entry: &TermReservation| {
            entry.run == *run && entry.usable_count(accepted) >= USABLE_MIN
        };
        if keepers.contains(&run.instance) && !next.reserved.iter().any(has_enough) {
            next.set_reservation(run.clone());
            next.reserve_new_terms(self.highest_term().max(accepted));
        }
        (next.reserved != self.reserved).then_some(next)
    }

    /// Returns the grant in which `primary` is recorded as confirmed at `term`, or `None` if a
    /// primary of this term or a later one is already recorded.
    ///
    /// ```
    /// use rudder_core::{LogTerm, SuccessionGrant, WriterMark};
    /// let grant = SuccessionGrant::first("inst-1".parse()?, LogTerm(3), WriterMark::random());
    /// let grant = grant.record_primary(&"scores-2".parse()?, LogTerm(3)).unwrap();
    /// assert_eq!(grant.primary().unwrap().1, LogTerm(3));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn record_primary(&self, primary: &MemberName, term: LogTerm) -> Option<Self> {
        if self.primary.is_some() && term <= self.primary_term {
            return None;
        }
        let mut next = self.clone();
        next.primary = Some(primary.clone());
        next.primary_term = term;
        if next.reserved.iter().any(|entry| entry.usable_count(term) < USABLE_MIN) {
            next.reserve_new_terms(term);
        }
        Some(next)
    }

    fn set_reservation(&mut self, run: KeeperRun) {
        let entry = TermReservation { first: LogTerm(0), step: 1, count: 0, run };
        let order = |known: &TermReservation| known.run.instance.cmp(&entry.run.instance);
        match self.reserved.binary_search_by(order) {
            Ok(index) => self.reserved[index] = entry,
            Err(index) => self.reserved.insert(index, entry),
        }
    }

    /// Reserves new terms for every run, above `floor` and above every term in the grant. A run that
    /// has not read the new version yet uses its old terms, which are never assigned to another run.
    fn reserve_new_terms(&mut self, floor: LogTerm) {
        let base = self.highest_term().max(floor).0 + 1;
        let step = u32::try_from(self.reserved.len()).unwrap_or(u32::MAX);
        for (first, entry) in (base..).zip(&mut self.reserved) {
            entry.first = LogTerm(first);
            entry.step = step;
            entry.count = RESERVED_COUNT;
        }
    }
}

impl From<SuccessionGrant> for GrantRecord {
    fn from(grant: SuccessionGrant) -> Self {
        Self {
            term: grant.term,
            holder: grant.holder,
            mark: grant.mark,
            primary: grant.primary,
            primary_term: grant.primary_term,
            reserved: grant.reserved,
        }
    }
}

impl TryFrom<GrantRecord> for SuccessionGrant {
    type Error = GrantError;

    fn try_from(record: GrantRecord) -> Result<Self, Self::Error> {
        let is_too_many = |entry: &&TermReservation| entry.count > STORED_COUNT_MAX;
        if let Some(entry) = record.reserved.iter().find(is_too_many) {
            return Err(GrantError::TooMany(entry.count));
        }
        let mut terms: Vec<_> = record.reserved.iter().flat_map(TermReservation::terms).collect();
        terms.sort_unstable();
        if let Some(pair) = terms.windows(2).find(|pair| pair[0] == pair[1]) {
            return Err(GrantError::ReservedTwice(pair[0]));
        }
        if terms.binary_search(&record.term).is_ok() {
            return Err(GrantError::GrantedAndReserved(record.term));
        }
        let mut reserved = record.reserved;
        reserved.sort_by(|left, right| left.run.instance.cmp(&right.run.instance));
        Ok(Self {
            term: record.term,
            holder: record.holder,
            mark: record.mark,
            primary: record.primary,
            primary_term: record.primary_term,
            reserved,
        })
    }
}
