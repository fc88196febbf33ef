//! Changes the primary of a service.
//!
//! 1. Write the intent: no instance gets a new lease for the previous primary.
//! 2. Wait until every instance has confirmed that it stopped, or until the leases have expired.
//! 3. Request the members' log positions, and choose the most advanced member.
//! 4. Write the order into the record, and send it.
//! 5. Write the result once the member leads and no order for another member can take effect: from
//!    then on leases are granted for the new primary.
//!
//! Each write is conditional on the previous version of the record and carries a unique mark, so
//! that the outcome of a write whose response was lost can be found by reading the record back. If
//! the instance fails before it is done, another one takes over after a timeout (see
//! `lead::suspicion`). Until then no other instance acts, and after [`INTENT_VALIDITY`] this one no
//! longer does.

use super::answers::send_records_request;
use super::change_plan::ChangePlan;
use super::control::{MemberReport, step_down};
use super::heartbeat::stop_leases;
use super::record_write::WrittenRecord;
use super::records::read_stored_record;
use super::registry::{CALL_TIMEOUT, read_entries, with_timeout};
use super::status::StatusClients;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::{GroupMember, ServiceGroup};
use crate::lead::{
    ChangeCause, CommitHolder, LeadHistory, LeadPhase, LeadRecord, LeaderEpoch, MemberOrder,
    StopProgress, StoredRecord, is_quorum,
};
use crate::peers::{PeerExchange, PeerMessage, RecordCopy};
use displaydoc::Display;
use rudder_core::{LogStamp, MemberName, MemberRole};
use rudder_store::{ObjectKind, ObjectVersion, StoreError};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// Time for which a version of the record entitles its writer to order a promotion, counted from
/// before the write: the duration of a lease, and one second for status requests and repeated
/// orders. Must be below the takeover timeout of an unfinished change (see `lead::suspicion`) by
/// more than the timeout of one order.
pub(super) const INTENT_VALIDITY: Duration = Duration::from_millis(2600);

/// Interval between announcements to instances that have not responded.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum time to wait for responses of a majority: several round trips between regions.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval between two polls of instances or members.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a change of primary failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[ignore_extra_doc_attributes]
pub(super) enum ChangeError {
    /// another instance changed the record first
    Superseded,
    /// no member can take over
    NoCandidate,
    /// no quorum of instances responds, and the others may serve with the present primary
    NoQuorum,
    /// the deadline of the change has passed
    TooLate,
    /// store error: {0}
    Store(StoreError),
}

impl From<StoreError> for ChangeError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Conflict => Self::Superseded,
            error => Self::Store(error),
        }
    }
}

/// Promotion that has taken effect.
pub(super) struct Promotion {
    /// Status report of the promoted member as primary.
    pub(super) leader: MemberReport,
    /// Version of the record under which it was promoted.
    pub(super) written: WrittenRecord,
    /// Orders for the same member that may reach the platform later.
    pub(super) orders: Vec<MemberOrder>,
}

/// Decision to change the primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ChangeDecision {
    /// Cause of the change.
    pub(super) cause: ChangeCause,
    /// Version of the record that the decision is based on.
    pub(super) epoch: LeaderEpoch,
    /// Whether the change may start without responses of a majority of instances.
    pub(super) skips_quorum: bool,
}

/// Change of primary in progress.
pub(super) struct ChangeRun<'a> {
    pub(super) engine: &'a Arc<ProxyEngine>,
    pub(super) exchange: &'a PeerExchange,
    pub(super) group: &'a Arc<ServiceGroup>,
    pub(super) clients: Mutex<StatusClients>,
    /// Departed members whose status was requested, sorted by process.
    pub(super) departed: std::sync::Mutex<Vec<(CommitHolder, Arc<GroupMember>)>>,
}

impl<'a> ChangeRun<'a> {
    fn new(
        engine: &'a Arc<ProxyEngine>,
        exchange: &'a PeerExchange,
        group: &'a Arc<ServiceGroup>,
    ) -> Self {
        let (clients, departed) = Default::default();
        Self { engine, exchange, group, clients, departed }
    }
}

/// Changes the primary of a group.
pub(super) async fn change_primary(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    group: &Arc<ServiceGroup>,
    decision: ChangeDecision,
) -> Result<(), ChangeError> {
    let run = ChangeRun::new(engine, exchange, group);
    let cause = decision.cause;
    let (before, version) = run.read_current(decision.epoch).await?;
    let mut plan = ChangePlan::of(&before, cause);
    run.complete_history(&mut plan.history);
    let (reports, has_quorum) = tokio::join!(run.fetch_candidates(&plan), run.reaches_quorum());
    if reports.is_empty() {
        return Err(ChangeError::NoCandidate);
    }
    // In a network partition, a minority of instances that can reach the store must not stop the
    // others, which can still serve with the primary on their side.
    if !has_quorum && !plan.unfinished && !decision.skips_quorum {
        return Err(ChangeError::NoQuorum);
    }
    log::info!(
        service:% = group.service(), epoch:% = before.record.epoch, cause = cause.label(),
        pending_orders = run.pending_orders().len(),
        settled_term:? = plan.history.term.map(|term| term.0);
        "a change of primary begins"
    );
    let intent = match run.write_intent(&before, &version, &plan).await {
        // The fleet reader may have updated the history of the same version meanwhile.
        Err(ChangeError::Superseded) => {
            let (before, version) = run.read_current(decision.epoch).await?;
            plan.history = before.history();
            run.complete_history(&mut plan.history);
            run.write_intent(&before, &version, &plan).await?
        }
        written => written?,
    };
    run.wait_all_stopped(&intent).await?;
    let promotion = run.promote(&plan, intent).await?;
    run.settle(promotion, plan.previous.as_ref()).await
}

/// Writes the first record of a service. It names the member of the newest term that reports the
/// role of primary.
pub(super) async fn write_first_record(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    group: &Arc<ServiceGroup>,
) -> Result<(), ChangeError> {
    let run = ChangeRun::new(engine, exchange, group);
    let leader = run.find_leader().await.ok_or(ChangeError::NoCandidate)?;
    let phase = LeadPhase::Settled {
        primary: leader.member.clone(),
        term: leader.status.accepted,
        base: None,
    };
    // The first record is not announced: no instance serves without it, and the next read of all
    // records spreads it. A fleet that starts would send a datagram for each pair of instance and
    // service otherwise.
    let mut history = LeadHistory::of_term(leader.status.accepted);
    run.complete_history(&mut history);
    run.write(LeaderEpoch::default().next(), phase, Vec::new(), history, None).await?;
    Ok(())
}

impl ChangeRun<'_> {
    /// Returns the phase of a change by this process.
    pub(super) fn changing(&self, plan: &ChangePlan) -> LeadPhase {
        LeadPhase::Changing {
            holder: self.engine.identity().name.clone(),
            process: self.engine.process(),
            previous: plan.previous.clone(),
            planned: plan.planned,
        }
    }

    /// Adds to the history of a service with synchronous replicas what this process knows of the
    /// acknowledged commits, and applies what the history tells of them.
    fn complete_history(&self, history: &mut LeadHistory) {
        if self.sync_replicas() == 0 {
            history.holders.clear();
            history.released.clear();
            history.acknowledged = None;
            return;
        }
        self.group.adopt_holders(history);
        self.group.raise_acknowledged(history.acknowledged);
        history.holders = self.group.commit_holders();
        history.released = self.group.released_holders();
        history.acknowledged = self.group.acknowledged();
    }

    /// Returns the status of the primary of the newest term: of the members that list themselves as
    /// primaries, or of all members if none of them responds as one.
    async fn find_leader(&self) -> Option<MemberReport> {
        let all = self.group.members();
        let (listed, _): (Vec<_>, Vec<_>) =
            all.iter().cloned().partition(|member| member.entry().role == MemberRole::Primary);
        for members in [listed, all] {
            let reports = StatusClients::default().fetch_all(self.engine, &members).await;
            let leads = |report: &MemberReport| report.status.role == MemberRole::Primary;
            let leaders = reports.into_iter().filter(leads);
            if let Some(leader) = leaders.max_by_key(|report| report.status.accepted) {
                return Some(leader);
            }
        }
        None
    }

    /// Reads the record, which must be the version that the decision is based on. Otherwise this
    /// change could interrupt one that another instance has begun, and both would promote a member.
    async fn read_current(
        &self,
        decided_epoch: LeaderEpoch,
    ) -> Result<(StoredRecord, ObjectVersion), ChangeError> {
        let store = &self.engine.dependencies().store;
        let sent_at = boot_time();
        let get = store.get(ObjectKind::PrimaryRecord, self.group.service().as_str());
        let object = with_timeout(CALL_TIMEOUT, get).await?.ok_or(ChangeError::Superseded)?;
        let stored = read_stored_record(self.engine, &object).ok_or(ChangeError::Superseded)?;
        self.engine.observe_record(self.group.service(), &stored.record, sent_at);
        if stored.record.epoch != decided_epoch {
            return Err(ChangeError::Superseded);
        }
        Ok((stored, object.version))
    }

    async fn write_intent(
        &self,
        before: &StoredRecord,
        version: &ObjectVersion,
        plan: &ChangePlan,
    ) -> Result<WrittenRecord, ChangeError> {
        let (epoch, phase) = (before.record.epoch.next(), self.changing(plan));
        let (orders, history) = (self.pending_orders(), plan.history.clone());
        self.write(epoch, phase, orders, history, Some(version)).await
    }

    /// Returns whether a majority of the known instances responds in time.
    async fn reaches_quorum(&self) -> bool {
        let membership = self.engine.membership();
        let request_id = rand::random::<u64>();
        let until = boot_time() + QUORUM_TIMEOUT;
        while boot_time() < until {
            send_records_request(
                self.engine,
                self.exchange,
                &membership.addresses(),
                request_id,
                false,
            )
            .await;
            tokio::time::sleep(POLL_INTERVAL).await;
            if is_quorum(
                membership.requests().response_count(request_id) + 1,
                membership.known_count(),
            ) {
                return true;
            }
        }
        membership.known_count() == 1
    }

    /// Waits until no instance can hold a lease for the version before `intent`.
    async fn wait_all_stopped(&self, intent: &WrittenRecord) -> Result<(), ChangeError> {
        let service = self.group.service();
        // Instances that are already known are notified without waiting for the list.
        self.announce(&intent.record).await;
        // The list is read after the intent was written: an instance that registers later reads the
        // intent itself.
        let (listed, _) =
            tokio::join!(read_entries(self.engine), stop_leases(self.engine, service));
        if let Err(error) = &listed {
            log::info!(reason:% = error; "the list of instances was not read");
        }
        let listed = listed.is_ok();
        let mut quorum_since = None;
        loop {
            let all = self.engine.membership().listed_count() + 1;
            let remaining = self.engine.membership().not_stopped(service, intent.record.epoch);
            let now = boot_time();
            if listed && is_quorum(all - remaining.len(), all) {
                quorum_since.get_or_insert(now);
            }
            let changing_since = self.group.with_leases(|leases| leases.changing_since());
            let progress = StopProgress {
                written_by: intent.acknowledged_at,
                changing_since: changing_since.unwrap_or(intent.acknowledged_at),
                listed,
                unconfirmed: remaining.len(),
                quorum_since,
            };
            if progress.is_over(now) {
                log::info!(
                    service:% = service, epoch:% = intent.record.epoch, unheard = remaining.len(),
                    listed = listed,
                    waited_ms = now.saturating_sub(intent.acknowledged_at).as_millis();
                    "no instance holds a lease for the previous primary any more"
                );
                return Ok(());
            }
            if now >= intent.acknowledged_at + INTENT_VALIDITY {
                return Err(ChangeError::TooLate);
            }
            let receivers: Vec<_> = remaining.iter().map(|entry| entry.address).collect();
            let message = PeerMessage::Announce(self.record_copy(&intent.record));
            self.exchange.send_all(&message, &receivers).await;
            let wait = progress.expires_at().saturating_sub(now).min(ANNOUNCE_INTERVAL);
            self.engine.membership().wait_stopped(wait).await;
        }
    }

    fn record_copy(&self, record: &LeadRecord) -> RecordCopy {
        RecordCopy { service: self.group.service().clone(), record: record.clone() }
    }

    async fn announce(&self, record: &LeadRecord) {
        let receivers = self.engine.membership().addresses();
        let message = PeerMessage::Announce(self.record_copy(record));
        self.exchange.send_all(&message, &receivers).await;
    }

    async fn settle(
        &self,
        promotion: Promotion,
        previous: Option<&MemberName>,
    ) -> Result<(), ChangeError> {
        let Promotion { leader, written: intent, orders } = promotion;
        let term = leader.status.accepted;
        let mut history = intent.history;
        history.settle(term, base_of(&leader));
        let base = history.base();
        let phase = LeadPhase::Settled { primary: leader.member.clone(), term, base };
        let epoch = intent.record.epoch.next();
        let settled = self.write(epoch, phase, orders, history, Some(&intent.version)).await?;
        self.announce(&settled.record).await;
        log::info!(
            service:% = self.group.service(), epoch:% = epoch, member:% = leader.member,
            term:% = term, position:% = leader.status.received,
            took_ms = boot_time().saturating_sub(intent.acknowledged_at).as_millis();
            "the primary was changed"
        );
        let old = previous.filter(|name| **name != leader.member);
        if let Some(member) = old.and_then(|name| self.group.member(name)) {
            step_down(self.engine, &member, term).await;
        }
        Ok(())
    }
}

/// Returns the log position up to which the logs of earlier terms are kept by the new primary.
fn base_of(leader: &MemberReport) -> LogStamp {
    leader.status.received
}
