//! Renewal and takeover of the counting authority by the instance that reads the store for others.
//!
//! Load pattern: see [`AuthorityView`]. A holder that fails must be replaced within seconds, but not
//! before its last confirmation has expired everywhere, also while the store responds to one set of
//! instances only or to none.

use super::authority::{AuthorityRecord, AuthorityTerm, AuthorityView};
use super::ledger::LimitBounds;
use rudder_core::InstanceName;
use std::time::Duration;

/// Interval at which the holder renews the object. Shorter than the contact timeout by the time of a
/// failed renewal, its repetition and the transfer.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1200);

/// Interval between reads of the object by an instance that wants to hold it.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Delay before a renewal that failed is checked or repeated, so that a store that rejects calls does
/// not get many.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval between polls of all instances before a takeover, and while the store does not respond to
/// the holder: several of them fit into the contact timeout.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// How long the object has to be unchanged before it is taken over with a majority: the contact
/// timeout of 1.8 s and a margin for the drift of clocks.
const MAJORITY_TAKEOVER_TIME: Duration = Duration::from_millis(2100);

/// How long the object has to be unchanged before it is taken over without a majority:
/// [`MAJORITY_REACH`], the contact timeout and a margin.
const TAKEOVER_TIME: Duration = Duration::from_millis(10_100);

/// How long after its last renewal a holder is confirmed by a majority of instances.
const MAJORITY_REACH: Duration = Duration::from_millis(8000);

/// Next call of an instance that wants to hold the authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuthorityAction {
    /// Nothing is due.
    Wait,
    /// Read the object.
    Read,
    /// Poll all instances for their latest confirmation.
    Poll,
    /// Create the object, or replace the version that was read last.
    Write(AuthorityRecord),
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was executed.
    Written,
    /// Another instance has changed the object.
    Rejected,
    /// The write was not executed, as the store did not accept it.
    NotExecuted,
    /// No response arrived; the write may have been executed.
    Unknown,
}

/// Change of the state of an instance, for its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthorityChange {
    /// It has created the object.
    Created,
    /// It has taken the object over from another holder or process.
    TookOver,
    /// Another instance has changed the object.
    Lost,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    record: AuthorityRecord,
    /// Time at which the record was first sent.
    sent_at: Duration,
}

/// State of an instance that wants to hold the authority: the one that reads the store for others.
///
/// ```
/// use rudder_decisions::{AuthorityAction, AuthorityKeeper, AuthorityView, WriteOutcome};
/// use std::time::Duration;
/// let ms = Duration::from_millis;
/// let view = AuthorityView::default();
/// let mut keeper = AuthorityKeeper::new("entry-1".parse()?, 7);
/// assert_eq!(keeper.next_action(&view, ms(0)), AuthorityAction::Read);
/// keeper.record_read(None, ms(10));
/// let AuthorityAction::Write(record) = keeper.next_action(&view, ms(10)) else { panic!() };
/// keeper.record_write(&record, WriteOutcome::Written, ms(10));
/// assert_eq!(keeper.confirmation(), Some((&record.term, ms(10))));
/// assert_eq!(keeper.next_action(&view, ms(1209)), AuthorityAction::Wait);
/// assert!(matches!(keeper.next_action(&view, ms(1210)), AuthorityAction::Write(_)));
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug)]
pub struct AuthorityKeeper {
    own: InstanceName,
    process: u64,
    /// Content of the object when it was last read, and the time of the first read that showed it.
    observed: Option<(Option<AuthorityRecord>, Duration)>,
    /// Time of the last call, and whether it got a response.
    called_at: Option<Duration>,
    store_responds: bool,
    polled_at: Option<Duration>,
    /// Write whose outcome is unknown.
    pending: Option<PendingWrite>,
    /// Time at which the last successful write was sent; `None` while another instance is the
    /// holder.
    renewed_at: Option<Duration>,
    /// Time of the last poll to which a majority responded.
    majority_at: Option<Duration>,
}

impl AuthorityKeeper {
    /// Returns the state of an instance that has not read the object.
    ///
    /// See the example of [`AuthorityKeeper`].
    #[must_use]
    pub fn new(own: InstanceName, process: u64) -> Self {
        Self {
            own,
            process,
            observed: None,
            called_at: None,
            store_responds: true,
            polled_at: None,
            pending: None,
            renewed_at: None,
            majority_at: None,
        }
    }

    /// Forgets what was observed, because this instance no longer wants to hold the object.
    ///
    /// ```
    /// use rudder_decisions::AuthorityKeeper;
    /// let mut keeper = AuthorityKeeper::new("entry-1".parse()?, 7);
    /// keeper.release();
    /// assert!(keeper.confirmation().is_none());
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn release(&mut self) {
        *self = Self::new(self.own.clone(), self.process);
    }

    /// Returns the next call. It has to be repeated at short intervals.
    ///
    /// See the example of [`AuthorityKeeper`].
    #[must_use]
    pub fn next_action(&self, view: &AuthorityView, now: Duration) -> AuthorityAction {
        let is_over = |at: Option<Duration>, time| at.is_none_or(|at| now >= at + time);
        let holds_without_store = self.renewed_at.is_some() && !self.store_responds;
        if holds_without_store && is_over(self.polled_at, POLL_INTERVAL) {
            return AuthorityAction::Poll;
        }
        if let (Some(record), Some(renewed_at), None) =
            (self.own_record(), self.renewed_at, &self.pending)
        {
            let is_due = is_over(Some(renewed_at), RENEWAL_INTERVAL);
            if !is_due || !(self.store_responds || is_over(self.called_at, RETRY_DELAY)) {
                return AuthorityAction::Wait;
            }
            if record.term.sequence >= view.sequence() {
                let renewal = record.renewal + 1;
                return AuthorityAction::Write(AuthorityRecord { renewal, ..record.clone() });
            }
        }
        if self.takes_over(view, now) {
            return AuthorityAction::Write(self.first_record(view));
        }
        let interval = if self.pending.is_some() { RETRY_DELAY } else { READ_INTERVAL };
        if is_over(self.called_at, interval) {
            return AuthorityAction::Read;
        }
        let unchanged_since = self.observed.as_ref().map(|(_, since)| *since);
        let may_poll = unchanged_since.is_some_and(|at| now >= at + LimitBounds::contact_timeout());
        if may_poll && is_over(self.polled_at, POLL_INTERVAL) {
            return AuthorityAction::Poll;
        }
        AuthorityAction::Wait
    }

    fn takes_over(&self, view: &AuthorityView, now: Duration) -> bool {
        let Some((record, since)) = &self.observed else { return false };
        if self.pending.is_some() || !self.store_responds {
            return false;
        }
        let has_majority = self.majority_at.is_some_and(|at| at >= *since);
        // No other instance can have confirmed a term of this process. If the object was removed, its
        // last holder may still be trusted.
        let is_free = record.is_none() && view.latest().is_none();
        is_free
            || self.own_record().is_some()
            || now >= *since + TAKEOVER_TIME
            || (has_majority && now >= *since + MAJORITY_TAKEOVER_TIME)
    }

    fn first_record(&self, view: &AuthorityView) -> AuthorityRecord {
        let observed = self.observed.as_ref().and_then(|(record, _)| record.as_ref());
        let sequence = observed.map_or(0, |record| record.term.sequence).max(view.sequence());
        let sequence = sequence.saturating_add(1);
        let term = AuthorityTerm { sequence, holder: self.own.clone(), process: self.process };
        AuthorityRecord { term, renewal: 0 }
    }

    /// Returns the observed record if this process has written it.
    fn own_record(&self) -> Option<&AuthorityRecord> {
        let record = self.observed.as_ref()?.0.as_ref()?;
        (record.term.holder == self.own && record.term.process == self.process).then_some(record)
    }

    /// Applies the object as read, which is `None` if it does not exist. `now` is the time at which
    /// the response arrived: every renewal that precedes the read was sent before it.
    ///
    /// See the example of [`AuthorityKeeper`].
    pub fn record_read(
        &mut self,
        record: Option<AuthorityRecord>,
        now: Duration,
    ) -> Option<AuthorityChange> {
        self.called_at = Some(now);
        self.store_responds = true;
        let pending = self.pending.take();
        if let (Some(record), Some(pending)) = (&record, pending)
            && *record == pending.record
        {
            return self.apply_write(&pending.record, pending.sent_at);
        }
        let is_known = self.observed.as_ref().is_some_and(|(known, _)| *known == record);
        if is_known {
            return None;
        }
        self.observed = Some((record, now));
        self.renewed_at.take().map(|_| AuthorityChange::Lost)
    }

    /// Records that a read got no response.
    ///
    /// ```
    /// use rudder_decisions::{AuthorityAction, AuthorityKeeper, AuthorityView};
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut keeper = AuthorityKeeper::new("entry-1".parse()?, 7);
    /// keeper.record_failed_read(ms(0));
    /// let view = AuthorityView::default();
    /// assert_eq!(keeper.next_action(&view, ms(20)), AuthorityAction::Wait);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn record_failed_read(&mut self, now: Duration) {
        self.called_at = Some(now);
        self.store_responds = false;
    }

    /// Applies the outcome of a write that was sent at `sent_at`.
    ///
    /// See the example of [`AuthorityKeeper`].
    pub fn record_write(
        &mut self,
        record: &AuthorityRecord,
        outcome: WriteOutcome,
        sent_at: Duration,
    ) -> Option<AuthorityChange> {
        self.called_at = Some(sent_at);
        self.store_responds = matches!(outcome, WriteOutcome::Written | WriteOutcome::Rejected);
        match outcome {
            WriteOutcome::Written => self.apply_write(record, sent_at),
            WriteOutcome::NotExecuted => None,
            WriteOutcome::Unknown => {
                self.pending = Some(PendingWrite { record: record.clone(), sent_at });
                None
            }
            WriteOutcome::Rejected => {
                self.observed = None;
                self.called_at = None;
                self.renewed_at.take().map(|_| AuthorityChange::Lost)
            }
        }
    }

    fn apply_write(
        &mut self,
        record: &AuthorityRecord,
        sent_at: Duration,
    ) -> Option<AuthorityChange> {
        let before = self.observed.take().and_then(|(known, _)| known);
        self.observed = Some((Some(record.clone()), sent_at));
        self.renewed_at = Some(sent_at);
        self.majority_at = None;
        match before {
            Some(before) if before.term == record.term => None,
            Some(_) => Some(AuthorityChange::TookOver),
            None => Some(AuthorityChange::Created),
        }
    }

    /// Records that all instances are polled at `now`.
    ///
    /// ```
    /// use rudder_decisions::AuthorityKeeper;
    /// let mut keeper = AuthorityKeeper::new("entry-1".parse()?, 7);
    /// keeper.record_poll(std::time::Duration::ZERO);
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn record_poll(&mut self, now: Duration) {
        self.polled_at = Some(now);
    }

    /// Returns whether an instance's response to a poll that was sent at `polled_at` counts, given
    /// the latest confirmation that it knows. For a holder it counts unless the instance knows a
    /// later term; before a takeover, unless the instance is in contact with the present holder.
    ///
    /// ```
    /// use rudder_decisions::AuthorityKeeper;
    /// use std::time::Duration;
    /// let keeper = AuthorityKeeper::new("entry-1".parse()?, 7);
    /// let ms = Duration::from_millis;
    /// assert!(!keeper.counts_vote(Some((3, ms(100))), ms(1800)));
    /// assert!(keeper.counts_vote(Some((3, ms(100))), ms(1900)));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn counts_vote(&self, known: Option<(u64, Duration)>, polled_at: Duration) -> bool {
        let Some((sequence, confirmed_at)) = known else { return true };
        match (self.renewed_at, self.own_record()) {
            (Some(_), Some(record)) => sequence <= record.term.sequence,
            _ => polled_at >= confirmed_at + LimitBounds::contact_timeout(),
        }
    }

    /// Records that a majority of the listed instances responded to a poll that was sent at
    /// `polled_at`.
    ///
    /// ```
    /// use rudder_decisions::{AuthorityKeeper, AuthorityView, WriteOutcome};
    /// use rudder_decisions::AuthorityAction::Write;
    /// use std::time::Duration;
    /// let ms = Duration::from_millis;
    /// let mut keeper = AuthorityKeeper::new("entry-1".parse()?, 7);
    /// keeper.record_read(None, ms(0));
    /// let view = AuthorityView::default();
    /// let Write(record) = keeper.next_action(&view, ms(0)) else { panic!() };
    /// keeper.record_write(&record, WriteOutcome::Written, ms(0));
    /// let Write(renewal) = keeper.next_action(&view, ms(1200)) else { panic!() };
    /// keeper.record_write(&renewal, WriteOutcome::NotExecuted, ms(1200));
    /// keeper.record_majority(ms(1300));
    /// assert_eq!(keeper.confirmation(), Some((&record.term, ms(1300))));
    /// keeper.record_majority(ms(9300));
    /// assert_eq!(keeper.confirmation(), Some((&record.term, ms(8000))));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn record_majority(&mut self, polled_at: Duration) {
        self.majority_at = self.majority_at.max(Some(polled_at));
    }

    /// Returns this instance's term and the time at which it was last confirmed, if it is the
    /// holder. While the store does not respond, responses of a majority confirm it as well.
    ///
    /// See the example of [`AuthorityKeeper`].
    #[must_use]
    pub fn confirmation(&self) -> Option<(&AuthorityTerm, Duration)> {
        let renewed_at = self.renewed_at?;
        let majority_at = self.majority_at.filter(|_| !self.store_responds).unwrap_or_default();
        let confirmed_at = renewed_at.max(majority_at.min(renewed_at + MAJORITY_REACH));
        Some((&self.own_record()?.term, confirmed_at))
    }
}
