//! State of the owners that precede this instance in an account's order of owners.

use rudder_core::{AccountName, InstanceName};
use std::time::Duration;

/// Interval between two probes of an owner.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How long the response of an owner is valid.
const RESPONSE_VALIDITY: Duration = Duration::from_millis(300);

/// A longer pause between two probes restarts the measurement of an owner's silence: an instance
/// that was itself suspended must not count that time as silence of the owner.
const SILENCE_RESET_AFTER: Duration = Duration::from_millis(1000);

/// State of an owner that precedes this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerState {
    /// The owner grants the account's operations.
    Granting,
    /// The owner runs and reports that it does not grant the account's operations.
    NotGranting,
    /// The owner has not responded for this long.
    SilentFor(Duration),
}

#[derive(Clone, Debug)]
struct WatchedOwner {
    account: AccountName,
    owner: InstanceName,
    /// Time of the last probe; `None` if there was none.
    probed_at: Option<Duration>,
    /// Whether the last probe got no response from the owner itself.
    is_unanswered: bool,
    /// Whether the probe before it got none either, so that relays are to be asked.
    relays_due: bool,
    silent_since: Option<Duration>,
    response: Option<OwnerResponse>,
}

impl WatchedOwner {
    fn new(account: &AccountName, owner: &InstanceName) -> Self {
        Self {
            account: account.clone(),
            owner: owner.clone(),
            probed_at: None,
            is_unanswered: false,
            relays_due: false,
            silent_since: None,
            response: None,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct OwnerResponse {
    at: Duration,
    grants: bool,
}

/// Owners that this instance probes, sorted by account and owner.
///
/// ```
/// use rudder_decisions::{OwnerState, OwnerWatch};
/// use std::time::Duration;
/// let (account, owner) = ("choirs".parse()?, "entry-1".parse()?);
/// let ms = Duration::from_millis;
/// let mut watch = OwnerWatch::default();
/// assert!(watch.try_begin_probe(&account, &owner, ms(1000)));
/// assert_eq!(watch.state(&account, &owner, ms(1200)), OwnerState::SilentFor(ms(200)));
/// watch.record_response(&account, &owner, true, ms(1200));
/// assert_eq!(watch.state(&account, &owner, ms(1250)), OwnerState::Granting);
/// # Ok::<(), rudder_core::ParseError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct OwnerWatch {
    watched: Vec<WatchedOwner>,
}

impl OwnerWatch {
    /// Whether a probe of the owner is due. If so, it is recorded as sent, and the caller has to
    /// send it.
    ///
    /// See the example of [`OwnerWatch`].
    pub fn try_begin_probe(
        &mut self,
        account: &AccountName,
        owner: &InstanceName,
        now: Duration,
    ) -> bool {
        match self.position(account, owner) {
            Ok(index) => {
                let watched = &mut self.watched[index];
                let pause = watched.probed_at.map(|at| now.saturating_sub(at));
                if pause.is_some_and(|pause| pause < PROBE_INTERVAL) {
                    return false;
                }
                let is_first = pause.is_none_or(|pause| pause > SILENCE_RESET_AFTER);
                if is_first || watched.silent_since.is_none() {
                    watched.silent_since = Some(now);
                }
                watched.relays_due = watched.is_unanswered && !is_first;
                watched.is_unanswered = true;
                watched.probed_at = Some(now);
            }
            Err(index) => {
                let mut watched = WatchedOwner::new(account, owner);
                watched.probed_at = Some(now);
                watched.is_unanswered = true;
                watched.silent_since = Some(now);
                self.watched.insert(index, watched);
            }
        }
        true
    }

    /// Whether the probe that [`Self::try_begin_probe`] has just recorded is also to be sent through
    /// relays, because the owner itself did not respond to the one before.
    ///
    /// ```
    /// use rudder_decisions::OwnerWatch;
    /// use std::time::Duration;
    /// let (account, owner) = ("choirs".parse()?, "entry-1".parse()?);
    /// let mut watch = OwnerWatch::default();
    /// assert!(watch.try_begin_probe(&account, &owner, Duration::from_millis(1000)));
    /// assert!(!watch.needs_relays(&account, &owner));
    /// assert!(watch.try_begin_probe(&account, &owner, Duration::from_millis(1100)));
    /// assert!(watch.needs_relays(&account, &owner));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn needs_relays(&self, account: &AccountName, owner: &InstanceName) -> bool {
        self.position(account, owner).is_ok_and(|index| self.watched[index].relays_due)
    }

    /// Records the response of an owner: whether it grants the account's operations.
    ///
    /// See the example of [`OwnerWatch`].
    pub fn record_response(
        &mut self,
        account: &AccountName,
        owner: &InstanceName,
        grants: bool,
        now: Duration,
    ) {
        if let Ok(index) = self.position(account, owner) {
            let watched = &mut self.watched[index];
            watched.is_unanswered = false;
            watched.silent_since = None;
            watched.response = Some(OwnerResponse { at: now, grants });
        }
    }

    /// Records what another instance has observed of an owner: a relay, or a claimant to which the
    /// owner granted an operation. `observed_at` is the latest time at which the owner can not have
    /// been silent, for a relay the time of the request to it, so that a delayed report does not
    /// extend the time for which the owner counts as granting.
    ///
    /// ```
    /// use rudder_decisions::{OwnerState, OwnerWatch};
    /// use std::time::Duration;
    /// let (account, owner) = ("choirs".parse()?, "entry-1".parse()?);
    /// let ms = Duration::from_millis;
    /// let mut watch = OwnerWatch::default();
    /// assert!(watch.try_begin_probe(&account, &owner, ms(1000)));
    /// watch.record_report(&account, &owner, true, ms(1100));
    /// assert_eq!(watch.state(&account, &owner, ms(1200)), OwnerState::Granting);
    /// assert_eq!(watch.state(&account, &owner, ms(1500)), OwnerState::SilentFor(ms(400)));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn record_report(
        &mut self,
        account: &AccountName,
        owner: &InstanceName,
        grants: bool,
        observed_at: Duration,
    ) {
        let index = match self.position(account, owner) {
            Ok(index) => index,
            Err(index) => {
                self.watched.insert(index, WatchedOwner::new(account, owner));
                index
            }
        };
        let watched = &mut self.watched[index];
        if watched.response.is_some_and(|response| observed_at <= response.at) {
            return;
        }
        watched.response = Some(OwnerResponse { at: observed_at, grants });
        watched.silent_since = watched.silent_since.map(|since| since.max(observed_at));
    }

    /// Returns the state of an owner.
    ///
    /// See the example of [`OwnerWatch`].
    #[must_use]
    pub fn state(&self, account: &AccountName, owner: &InstanceName, now: Duration) -> OwnerState {
        let Ok(index) = self.position(account, owner) else {
            return OwnerState::SilentFor(Duration::ZERO);
        };
        let watched = &self.watched[index];
        match (watched.response, watched.silent_since) {
            (Some(response), _) if now < response.at + RESPONSE_VALIDITY => match response.grants {
                true => OwnerState::Granting,
                false => OwnerState::NotGranting,
            },
            (_, Some(since)) => OwnerState::SilentFor(now.saturating_sub(since)),
            (_, None) => OwnerState::SilentFor(Duration::ZERO),
        }
    }

    /// Removes the accounts for which `keep` returns false.
    ///
    /// ```
    /// let mut watch = rudder_decisions::OwnerWatch::default();
    /// watch.retain(|_| false);
    /// ```
    pub fn retain(&mut self, keep: impl Fn(&AccountName) -> bool) {
        self.watched.retain(|watched| keep(&watched.account));
    }

    fn position(&self, account: &AccountName, owner: &InstanceName) -> Result<usize, usize> {
        self.watched.binary_search_by(|known| (&known.account, &known.owner).cmp(&(account, owner)))
    }
}
