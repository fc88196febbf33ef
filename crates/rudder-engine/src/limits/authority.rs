//! Knowledge of the counting authority in one instance, and its state as a possible holder.

use super::state::LimitState;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::identity::DrainPhase;
use crate::lead::is_quorum;
use crate::peers::{AuthorityNotice, AuthorityTrailer, RequestOffset};
use crate::settings::AccountTable;
use rudder_decisions::{
    AuthorityAction, AuthorityChange, AuthorityKeeper, AuthorityRecord, AuthorityTerm, WriteOutcome,
};
use std::net::SocketAddr;
use std::time::Duration;

impl LimitState {
    /// Applies a change of this instance's state as a holder. Returns whether that confirms the
    /// authority for a later time.
    fn update_authority(
        &mut self,
        change: impl FnOnce(&mut AuthorityKeeper) -> Option<AuthorityChange>,
    ) -> bool {
        let Some(keeper) = &mut self.keeper else { return false };
        let change = change(keeper);
        log_change(keeper, change);
        let confirmation = keeper.confirmation();
        // A holder need not wait for a further confirmation of its own.
        confirmation.is_some_and(|(term, at)| self.authority.observe(term, at, at))
    }
}

impl ProxyEngine {
    fn limits_accounts(&self) -> bool {
        let settings = self.settings();
        let accounts = settings.as_ref().and_then(|settings| settings.accounts.as_ref());
        accounts.is_some_and(AccountTable::has_limits)
    }

    /// Returns whether this instance wants to hold the counting authority: it reads the store for the
    /// fleet, or is the holder, and the store's list contains it. Before it knows the list, each
    /// instance of a starting fleet considers itself the reader. A holder stays the holder if another
    /// instance becomes the reader, as that one might not reach the store.
    fn wants_authority(&self) -> bool {
        let holds = {
            let state = self.limits().state();
            state.keeper.as_ref().is_some_and(|keeper| keeper.confirmation().is_some())
        };
        self.limits_accounts()
            && (holds || self.membership().is_fleet_reader())
            && self.membership().has_entry(&self.identity().name)
            && self.drain_phase() == DrainPhase::Serving
    }

    /// Returns the next call for the counting authority, or `None` if this instance does not want to
    /// hold it.
    pub(crate) fn next_authority_action(&self) -> Option<AuthorityAction> {
        let (is_needed, is_wanted) = (self.limits_accounts(), self.wants_authority());
        let mut state = self.limits().state();
        if !is_needed {
            state.authority = Default::default();
        }
        if !is_wanted {
            if let Some(keeper) = state.keeper.take()
                && let Some((term, _)) = keeper.confirmation()
            {
                count("released");
                log::info!(
                    sequence = term.sequence, reason = "released";
                    "this instance no longer holds the counting authority"
                );
            }
            return None;
        }
        let LimitState { authority, keeper, .. } = &mut *state;
        let keeper = keeper.get_or_insert_with(|| {
            AuthorityKeeper::new(self.identity().name.clone(), self.process())
        });
        let now = boot_time();
        let action = keeper.next_action(authority, now);
        if action == AuthorityAction::Poll {
            keeper.record_poll(now);
        }
        Some(action)
    }

    /// Returns the address of the holder, if it is another instance. The fleet reader subscribes to its
    /// records, as the holder may no longer be at the head of the chain in which they are passed on.
    pub(crate) fn authority_holder(&self) -> Option<SocketAddr> {
        let holder = self.limits().state().authority.latest()?.0.holder.clone();
        let peers = self.membership().limit_peers();
        peers.into_iter().find(|peer| peer.instance == holder).map(|peer| peer.address)
    }

    /// Applies the object as read now, or that it could not be read.
    pub(crate) fn record_authority_read(
        &self,
        read: Result<Option<AuthorityRecord>, rudder_store::StoreError>,
    ) -> bool {
        let now = boot_time();
        self.limits().state().update_authority(|keeper| match read {
            Ok(record) => keeper.record_read(record, now),
            Err(error) => {
                count("unread");
                log::info!(reason:% = error; "the counting authority was not read");
                keeper.record_failed_read(now);
                None
            }
        })
    }

    /// Applies the outcome of a write that was sent at `sent_at`. Returns whether it confirms the
    /// authority for a later time.
    pub(crate) fn record_authority_write(
        &self,
        record: &AuthorityRecord,
        outcome: WriteOutcome,
        sent_at: Duration,
    ) -> bool {
        count(match outcome {
            WriteOutcome::Written => "written",
            WriteOutcome::Rejected => "rejected",
            WriteOutcome::NotExecuted => "not_executed",
            WriteOutcome::Unknown => "unknown",
        });
        let mut state = self.limits().state();
        state.update_authority(|keeper| keeper.record_write(record, outcome, sent_at))
    }

    /// Returns what follows the records that are sent to a peer whose request was received at
    /// `received_at`; nothing where the settings limit no account.
    pub(crate) fn authority_trailer(&self, received_at: Duration) -> Option<AuthorityTrailer> {
        if !self.limits_accounts() {
            return None;
        }
        let state = self.limits().state();
        let notice = |(term, confirmed_at): (&AuthorityTerm, Duration)| {
            AuthorityNotice::new(term, RequestOffset::of(confirmed_at, received_at))
        };
        Some(AuthorityTrailer { known: state.authority.latest().map(notice) })
    }

    /// Applies what a peer knows of the counting authority, and counts its response to a poll if it
    /// is the `first` one. Returns whether the authority is confirmed for a later time than was known.
    pub(crate) fn observe_authority(
        &self,
        trailer: Option<AuthorityTrailer>,
        request_id: u64,
        requested_at: Duration,
        first: bool,
    ) -> bool {
        if !self.limits_accounts() {
            return false;
        }
        let now = boot_time();
        let is_unaware = trailer.is_none();
        let known = trailer.and_then(|trailer| trailer.known).and_then(|notice| {
            let confirmed_at = notice.confirmed?.to_moment(requested_at);
            Some((AuthorityTerm::from(notice), confirmed_at))
        });
        // An offset refers to a time before its sender's response, which is over.
        if known.as_ref().is_some_and(|(_, confirmed_at)| *confirmed_at > now) {
            metrics::counter!("rudder_limit_authority_rejected_total", "reason" => "future")
                .increment(1);
            log::info!(reason = "future"; "a confirmation of the counting authority was rejected");
            return false;
        }
        let mut state = self.limits().state();
        if is_unaware && state.authority.record_unaware_source(now) {
            log::warn!(
                reason = "older_build";
                "the counting authority is no longer considered; contact with the store counts"
            );
        }
        let is_later =
            known.as_ref().is_some_and(|(term, at)| state.authority.observe(term, *at, now));
        let vote = known.map(|(term, confirmed_at)| (term.sequence, confirmed_at));
        let counts =
            state.keeper.as_ref().is_some_and(|keeper| keeper.counts_vote(vote, requested_at));
        drop(state);
        // As for leases, an instance that has not seen the whole list could take a minority for a
        // majority.
        let counts = counts && first && self.membership().has_entry(&self.identity().name);
        counts && self.count_authority_vote(request_id, requested_at) || is_later
    }

    fn count_authority_vote(&self, request_id: u64, requested_at: Duration) -> bool {
        let votes = self.membership().requests().count_vote(request_id);
        if !is_quorum(votes, self.membership().known_count()) {
            return false;
        }
        self.limits().state().update_authority(|keeper| {
            keeper.record_majority(requested_at);
            None
        })
    }

    /// Sets the metric of the time since the last known confirmation.
    pub(crate) fn report_authority_age(&self) {
        let state = self.limits().state();
        if let Some((_, confirmed_at)) = state.authority.latest() {
            let age = boot_time().saturating_sub(confirmed_at);
            metrics::gauge!("rudder_limit_authority_age_seconds").set(age.as_secs_f64());
        }
    }
}

fn log_change(keeper: &AuthorityKeeper, change: Option<AuthorityChange>) {
    let sequence = keeper.confirmation().map_or(0, |(term, _)| term.sequence);
    match change {
        None => {}
        Some(AuthorityChange::Created) => {
            count("created");
            log::info!(
                sequence = sequence, reason = "no_object";
                "this instance became the holder of the counting authority"
            );
        }
        Some(AuthorityChange::TookOver) => {
            count("took_over");
            log::info!(
                sequence = sequence, reason = "not_renewed";
                "this instance took over the counting authority"
            );
        }
        Some(AuthorityChange::Lost) => {
            count("lost");
            log::warn!(
                reason = "changed_by_another";
                "this instance lost the counting authority"
            );
        }
    }
}

fn count(outcome: &'static str) {
    metrics::counter!("rudder_limit_authority_total", "outcome" => outcome).increment(1);
}
