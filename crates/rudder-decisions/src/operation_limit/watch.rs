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
    probed_at: Duration,
    silent_since: Option<Duration>,
    response: Option<OwnerResponse>,
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
                let pause = now.saturating_sub(watched.probed_at);
                if pause < PROBE_INTERVAL {
                    return false;
                }
                if pause > SILENCE_RESET_AFTER || watched.silent_since.is_none() {
                    watched.silent_since = Some(now);
                }
                watched.probed_at = now;
            }
            Err(index) => {
                let watched = WatchedOwner {
                    account: account.clone(),
                    owner: owner.clone(),
                    probed_at: now,
                    silent_since: Some(now),
                    response: None,
                };
                self.watched.insert(index, watched);
            }
        }
        true
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
            watched.silent_since = None;
            watched.response = Some(OwnerResponse { at: now, grants });
        }
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
