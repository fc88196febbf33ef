//! Processes of a group's members that may hold acknowledged commits.

use super::departures::holder_of;
use super::member::{GroupMember, MemberEntry, MemberState};
use super::service::ServiceGroup;
use crate::clock::boot_time;
use crate::interfaces::{MemberDialer, MemberTarget};
use crate::lead::{CommitEvidence, CommitHolder, LeadHistory, LeadPhase};
use rudder_core::{DomainName, LogPosition, LogStamp, MemberName, MemberRole};
use std::sync::Arc;
use std::time::Duration;

impl ServiceGroup {
    /// Returns what is known of the copies of acknowledged commits while the primary `previous`, whose
    /// log ended at `base` when it took over, is being changed.
    pub(crate) fn commit_evidence(
        &self,
        sync_replicas: u32,
        previous: Option<&MemberName>,
        base: Option<LogStamp>,
    ) -> CommitEvidence {
        let state = self.state();
        let replicas = state.members.iter().map(|member| member.name());
        let replicas = replicas.filter(|name| Some(*name) != previous).cloned().collect();
        let departed = state.departures.replicas(previous, &state.history);
        CommitEvidence {
            sync_replicas,
            replicas,
            departed,
            acknowledged: state.acknowledged,
            base,
            newest: state.history.newest().map(|sample| sample.stamp),
        }
    }

    /// Returns a position that a commit of a statement which is sent now reaches at least: one beyond
    /// the newest known position of the primary, in its term.
    pub(crate) fn next_commit_floor(&self) -> Option<LogStamp> {
        let state = self.state();
        let newest = state.history.newest().map(|sample| sample.stamp);
        let (term, base) = match state.leases.record().map(|record| &record.phase) {
            Some(LeadPhase::Settled { term, base, .. }) => (Some(*term), *base),
            Some(LeadPhase::Changing { .. }) | None => (None, None),
        };
        let known = newest.max(base);
        let term = term.max(known.map(|known| known.term))?;
        let position = known.map_or(1, |known| known.position.0 + 1);
        Some(LogStamp { term, position: LogPosition(position) })
    }

    /// Applies a position that commits which were acknowledged to callers have reached at least.
    pub(crate) fn raise_acknowledged(&self, position: Option<LogStamp>) {
        let mut state = self.state();
        state.acknowledged = state.acknowledged.max(position);
    }

    /// Returns the position that acknowledged commits have reached at least.
    pub(crate) fn acknowledged(&self) -> Option<LogStamp> {
        self.state().acknowledged
    }

    /// Returns all processes that may hold commits which no other replica has, sorted: those of the
    /// members, and departed ones.
    pub(crate) fn commit_holders(&self) -> Vec<CommitHolder> {
        let state = self.state();
        let listed = state.members.iter().map(|member| holder_of(&member.entry()));
        let mut holders: Vec<_> = listed.chain(state.departures.holders().cloned()).collect();
        holders.sort();
        holders.dedup();
        holders
    }

    /// Returns the released processes that are still probed, sorted.
    pub(crate) fn released_holders(&self) -> Vec<CommitHolder> {
        let mut state = self.state();
        state.departures.forget_old(boot_time());
        let mut released: Vec<_> = state.departures.released().cloned().collect();
        released.sort();
        released
    }

    /// Applies the processes that the record in the store names. Those that are not in the
    /// membership left it before this process could observe them.
    pub(crate) fn adopt_holders(&self, history: &LeadHistory) {
        let mut state = self.state();
        let entries: Vec<_> = state.members.iter().map(|member| member.entry()).collect();
        let (holders, released) = (&history.holders, &history.released);
        state.departures.adopt(holders, released, &entries, boot_time());
    }

    /// Returns the departed processes to probe.
    pub(crate) fn holders_to_probe(&self) -> Vec<CommitHolder> {
        self.state().departures.to_probe(boot_time())
    }

    /// Returns the departed processes whose status a change of primary requests.
    pub(crate) fn holders_to_request(&self) -> Vec<CommitHolder> {
        self.state().departures.to_request(boot_time())
    }

    /// Records whether a departed process responded to a probe.
    pub(crate) fn record_holder_probe(&self, holder: &CommitHolder, responds: bool) {
        self.state().departures.record_probe(holder, responds, boot_time());
    }

    /// Returns the processes that have ended and may hold commits which no other replica has, each
    /// with a position of the primary after its end.
    pub(crate) fn ended_holders(&self) -> Vec<(CommitHolder, Option<LogStamp>)> {
        let state = self.state();
        let later =
            |ended_at: Duration| state.history.first_since(ended_at).map(|sample| sample.stamp);
        let ended = state.departures.ended().into_iter();
        ended.map(|(holder, ended_at)| (holder, later(ended_at))).collect()
    }

    /// Records that other replicas hold all commits that a departed process may hold.
    pub(crate) fn release_holder(&self, holder: &CommitHolder) {
        self.state().departures.release(holder);
    }

    /// Returns a departed process as a member that can be asked for its status.
    pub(crate) fn departed_member(
        &self,
        holder: &CommitHolder,
        domain: &DomainName,
        dialer: &Arc<dyn MemberDialer>,
    ) -> Arc<GroupMember> {
        let target = MemberTarget {
            service: self.service().clone(),
            member: holder.member.clone(),
            address: holder.address,
        };
        let entry = MemberEntry {
            target,
            domain: domain.clone(),
            region: String::new(),
            state: MemberState::Draining,
            role: MemberRole::Replica,
            started_at_ms: holder.started_at_ms,
        };
        GroupMember::new(entry, dialer)
    }
}
