//! Counting authority: the instance with which owners of limits have to be in contact.
//!
//! Load pattern: the fleet consists of two sets of instances without any link between them, and each
//! set has an instance that reads the store, for seconds. Contact with the store does not tell the
//! sets apart, so the owners of both would grant an account's whole limit. One instance, the holder
//! of an object in the store, therefore confirms contact for its set, and no other one does until
//! the last confirmation of the holder has expired everywhere.

use super::ledger::LimitBounds;
use rudder_core::InstanceName;
use std::time::Duration;

/// How long after its last confirmation an authority is no longer considered if an instance of an
/// older build passes on records: longer than any takeover, so that only the older builds can be the
/// cause.
const UNAWARE_SOURCE_TIME: Duration = Duration::from_secs(13);

/// Time for which one instance holds the authority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorityTerm {
    /// Number of the term; each takeover increases it.
    pub sequence: u64,
    /// Holder of the authority.
    pub holder: InstanceName,
    /// Identifier of the holder's process.
    pub process: u64,
}

/// Content of the object in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuthorityRecord {
    /// Holder of the object.
    pub term: AuthorityTerm,
    /// Number of renewals in this term, so that each renewal changes the object.
    pub renewal: u64,
}

/// Latest confirmation of the authority that an instance has learned of.
///
/// ```
/// use rudder_decisions::{AuthorityTerm, AuthorityView};
/// use std::time::Duration;
/// let term = |sequence| AuthorityTerm {
///     sequence,
///     holder: "entry-1".parse().expect("a name"),
///     process: 7,
/// };
/// let ms = Duration::from_millis;
/// let mut view = AuthorityView::default();
/// assert_eq!(view.contact_at(Some(ms(900))), Some(ms(900)));
/// assert!(view.observe(&term(1), ms(500), ms(600)));
/// assert!(!view.observe(&term(1), ms(400), ms(700)));
/// assert_eq!(view.contact_at(Some(ms(900))), Some(ms(500)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct AuthorityView {
    known: Option<(AuthorityTerm, Duration)>,
    /// Time at which contact was regained within a term. Only later confirmations count: an earlier
    /// one may have been passed on by instances that have left the holder's set.
    regained_at: Duration,
}

impl AuthorityView {
    /// Records at `now` that the holder of a term was confirmed at `confirmed_at`. Returns whether that
    /// is later than what was known.
    pub fn observe(&mut self, term: &AuthorityTerm, confirmed_at: Duration, now: Duration) -> bool {
        if let Some((known, known_at)) = &self.known {
            let is_same = known == term;
            if term.sequence < known.sequence || (term.sequence == known.sequence && !is_same) {
                return false;
            }
            if is_same && confirmed_at <= *known_at {
                return false;
            }
            if !is_same {
                self.regained_at = Duration::ZERO;
            } else if now >= *known_at + LimitBounds::contact_timeout() {
                self.regained_at = now;
            }
        }
        self.known = Some((term.clone(), confirmed_at));
        true
    }

    /// Returns the latest term and the time of its latest confirmation.
    ///
    /// ```
    /// assert!(rudder_decisions::AuthorityView::default().latest().is_none());
    /// ```
    #[must_use]
    pub fn latest(&self) -> Option<(&AuthorityTerm, Duration)> {
        self.known.as_ref().map(|(term, confirmed_at)| (term, *confirmed_at))
    }

    /// Returns the time of the last contact for the purpose of limits. `store_contact_at` is the
    /// time of the last contact with the store, which counts as long as no authority is known. If
    /// contact was regained and no later confirmation has arrived, the time has expired.
    ///
    /// See the example of [`AuthorityView`].
    #[must_use]
    pub fn contact_at(&self, store_contact_at: Option<Duration>) -> Option<Duration> {
        let Some((_, confirmed_at)) = self.latest() else { return store_contact_at };
        if confirmed_at < self.regained_at {
            return Some(self.regained_at.saturating_sub(LimitBounds::contact_timeout()));
        }
        Some(confirmed_at)
    }

    /// Records that an instance of an older build, which passes no confirmations on, is a source of
    /// this instance's records. If the authority has not been confirmed for longer than any takeover
    /// takes, contact with the store counts again. Returns whether that is so.
    ///
    /// ```
    /// use rudder_decisions::AuthorityView;
    /// let mut view = AuthorityView::default();
    /// assert!(!view.record_unaware_source(std::time::Duration::from_secs(60)));
    /// ```
    pub fn record_unaware_source(&mut self, now: Duration) -> bool {
        self.known.take_if(|(_, at)| now >= *at + UNAWARE_SOURCE_TIME).is_some()
    }

    pub(super) fn sequence(&self) -> u64 {
        self.latest().map_or(0, |(term, _)| term.sequence)
    }
}
