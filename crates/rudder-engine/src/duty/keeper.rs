//! Decides for each service whether to change its primary, and updates the connection shares.

use super::change::{self, ChangeDecision};
use super::loans::update_modes;
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::{GroupMember, MemberState, ServiceGroup};
use crate::identity::DrainPhase;
use crate::lead::{LeadPhase, LeaseTable, PrimaryHealth, QUORUM_REACH, decide_change};
use crate::peers::{KnownVersion, PeerExchange};
use crate::settings::{FleetSettings, SettingsVersion};
use crate::sync::lock;
use rudder_core::{MemberName, MemberRole, ServiceName};
use rudder_decisions::WatchPlan;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval between evaluations of all services on a reader.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between updates of the connection pools. On other instances than readers also that of
/// evaluations, which only remove primaries there whose grace time is over.
const POOL_UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of first records that are written at a time. A fleet that starts for the first time
/// writes one for each service; each takes a status request and a call to the store.
const FIRST_RECORDS_MAX: usize = 64;

/// Maximum age of the list of members at which a missing entry of the primary counts as a sign that
/// the primary is lost.
const MEMBER_LIST_MAX_AGE: Duration = Duration::from_millis(3000);

/// Minimum time between the starts of two changes of one service, so that a failed change is not
/// repeated at once.
const CHANGE_START_INTERVAL: Duration = Duration::from_millis(500);

/// Times since when signs of a lost primary have been present, for those signs that count only if
/// they last.
#[derive(Clone, Debug, Default)]
struct SignOnsets {
    absent_since: Option<Duration>,
    superseded_since: Option<Duration>,
}

struct GroupMonitor {
    service: ServiceName,
    signs: SignOnsets,
    /// Earliest time at which a change may start.
    next_change_at: Duration,
}

/// Services with a change in progress on this instance.
type RunningChanges = Arc<Mutex<Vec<ServiceName>>>;

/// Evaluates all services at regular intervals.
pub(crate) async fn run_keeper(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    let running = RunningChanges::default();
    let mut monitors: Vec<GroupMonitor> = Vec::new();
    let mut shares = ShareUpdater::default();
    let mut pools_updated_at = boot_time();
    loop {
        let is_reader = engine.membership().is_reader();
        let interval = if is_reader { EVALUATION_INTERVAL } else { POOL_UPDATE_INTERVAL };
        tokio::time::sleep(interval).await;
        let serves = engine.drain_phase() == DrainPhase::Serving;
        let may_act = serves && engine.membership().is_reader();
        let groups = engine.groups();
        let plan = engine.watch_plan();
        for group in groups.iter() {
            group.remove_unlisted_primary();
            if may_act && group.needs_decision() && decides(&engine, plan, group) {
                let monitor = monitor_of(&mut monitors, group.service());
                evaluate(&engine, &exchange, group, monitor, &running);
            } else {
                reset_signs(&mut monitors, group.service());
            }
        }
        let now = boot_time();
        if now >= pools_updated_at + POOL_UPDATE_INTERVAL {
            pools_updated_at = now;
            shares.update(&engine, &groups);
            groups.iter().for_each(|group| group.close_expired_connections());
        }
    }
}

/// Whether this instance decides on the primary of a group: as one of its watchers, or on its first
/// record as the fleet reader.
fn decides(engine: &ProxyEngine, plan: WatchPlan, group: &ServiceGroup) -> bool {
    let membership = engine.membership();
    membership.watches(plan, group.service()) || membership.is_fleet_reader()
}

fn reset_signs(monitors: &mut [GroupMonitor], service: &ServiceName) {
    if let Ok(index) = monitors.binary_search_by(|monitor| monitor.service.cmp(service)) {
        monitors[index].signs = SignOnsets::default();
    }
}

fn monitor_of<'a>(
    monitors: &'a mut Vec<GroupMonitor>,
    service: &ServiceName,
) -> &'a mut GroupMonitor {
    let index = match monitors.binary_search_by(|monitor| monitor.service.cmp(service)) {
        Ok(index) => index,
        Err(index) => {
            let signs = SignOnsets::default();
            let next_change_at = Duration::ZERO;
            monitors
                .insert(index, GroupMonitor { service: service.clone(), signs, next_change_at });
            index
        }
    };
    &mut monitors[index]
}

fn evaluate(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    group: &Arc<ServiceGroup>,
    monitor: &mut GroupMonitor,
    running: &RunningChanges,
) {
    let now = boot_time();
    if now < monitor.next_change_at {
        return;
    }
    let leases = group.with_leases(|leases| leases.clone());
    let epoch = leases.epoch();
    let plan = engine.watch_plan();
    let health = read_health(engine, group, &leases, &mut monitor.signs, now);
    let votes =
        engine.membership().votes(plan, group.service(), epoch, health.unreachable_since.is_some());
    let is_watcher = votes.iter().any(|vote| vote.instance == engine.identity().name);
    let cause = decide_change(&leases, &health, &engine.identity().name, &votes, now)
        .filter(|_| is_watcher);
    // Only the fleet reader writes a first record, and only if the store's records lacked one:
    // another instance may have written it after they were read.
    let lacks_record = leases.record().is_none() && engine.lacks_record(group.service());
    let may_record = engine.membership().is_fleet_reader() && !group.members().is_empty();
    let writes_first_record = lacks_record && may_record;
    if cause.is_none() && !writes_first_record {
        return;
    }
    {
        let mut running = lock(running);
        let waits = cause.is_none() && running.len() >= FIRST_RECORDS_MAX;
        if waits || running.contains(group.service()) {
            return;
        }
        running.push(group.service().clone());
    }
    monitor.next_change_at = now + CHANGE_START_INTERVAL;
    let onsets = [health.unreachable_since, health.absent_since, health.conflict_since];
    let since = onsets.into_iter().flatten().min().unwrap_or(now);
    // Instances that know of the shutdown no longer send statements to a primary that has left, so
    // no quorum is needed to stop them.
    let primary = leases.record().and_then(|record| record.primary());
    let primary = primary.and_then(|primary| group.member(primary));
    let has_drained =
        primary.is_some_and(|member| member.has_drained_for(engine.leaving_use_limit()));
    let skips_quorum = has_drained || now >= since + QUORUM_REACH;
    let decision = cause.map(|cause| ChangeDecision { cause, epoch, skips_quorum });
    spawn_change(engine, exchange, group, decision, running);
}

fn spawn_change(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    group: &Arc<ServiceGroup>,
    decision: Option<ChangeDecision>,
    running: &RunningChanges,
) {
    let engine = Arc::clone(engine);
    let exchange = exchange.clone();
    let group = Arc::clone(group);
    let running = Arc::clone(running);
    tokio::spawn(async move {
        let label = decision.map_or("first", |decision| decision.cause.label());
        let outcome = match decision {
            Some(decision) => change::change_primary(&engine, &exchange, &group, decision).await,
            None => change::write_first_record(&engine, &exchange, &group).await,
        };
        match outcome {
            Ok(()) => log::info!(
                service:% = group.service(), cause = label, outcome = "done";
                "a change of primary ended"
            ),
            Err(error) => log::warn!(
                service:% = group.service(), cause = label, outcome = "not_done", reason:% = error;
                "a change of primary ended"
            ),
        }
        let mut running = lock(&running);
        running.retain(|service| service != group.service());
    });
}

fn read_health(
    engine: &ProxyEngine,
    group: &ServiceGroup,
    leases: &LeaseTable,
    onsets: &mut SignOnsets,
    now: Duration,
) -> PrimaryHealth {
    let members = group.members();
    let primary = leases.record().and_then(|record| record.primary().cloned());
    let present = primary.as_ref().and_then(|primary| group.member(primary));
    let list_is_current =
        engine.members_confirmed_at().is_some_and(|at| now < at + MEMBER_LIST_MAX_AGE);
    let unlisted = present.as_ref().is_none_or(|primary| !primary.is_listed());
    let absent = list_is_current && primary.is_some() && unlisted;
    let superseded = present.as_deref().is_some_and(|primary| is_superseded(primary, &members));
    onsets.absent_since = onset_of(onsets.absent_since, absent, now);
    onsets.superseded_since = onset_of(onsets.superseded_since, superseded, now);
    PrimaryHealth {
        unreachable_since: group.watch_failing_since(),
        absent_since: onsets.absent_since,
        conflict_since: onsets.superseded_since,
        draining: present.is_some_and(|primary| !primary.serves_reads()),
        holder_ended: has_ended(engine, leases),
        replaceable: members.iter().any(|member| can_succeed(member, primary.as_ref())),
    }
}

/// Returns whether the attempt that began a change is known to have ended: it was this instance's
/// own, which runs only one at a time, or its instance runs another process by now.
fn has_ended(engine: &ProxyEngine, leases: &LeaseTable) -> bool {
    let phase = leases.record().map(|record| &record.phase);
    let Some(LeadPhase::Changing { holder, process, .. }) = phase else { return false };
    if *holder == engine.identity().name {
        return true;
    }
    engine.membership().has_restarted(holder, *process, leases.seen_at())
}

fn onset_of(since: Option<Duration>, present: bool, now: Duration) -> Option<Duration> {
    present.then(|| since.unwrap_or(now))
}

/// Returns whether the primary reports that it is a replica while another member reports that it is
/// the primary.
fn is_superseded(primary: &GroupMember, members: &[Arc<GroupMember>]) -> bool {
    let leads = |member: &GroupMember| member.entry().role == MemberRole::Primary;
    let other = members.iter().any(|member| member.name() != primary.name() && leads(member));
    other && !leads(primary)
}

fn can_succeed(member: &GroupMember, primary: Option<&MemberName>) -> bool {
    Some(member.name()) != primary && member.entry().state == MemberState::Ready
}

/// Everything that the connection shares are worked out from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ShareInputs {
    settings: SettingsVersion,
    instances: KnownVersion,
    members: u64,
}

/// Updates the connection shares when something that they depend on has changed.
///
/// Load pattern: a share is worked out from the names of all instances, for each member of each
/// service. Done at regular intervals, this takes more time than all statements of a large fleet.
#[derive(Debug, Default)]
pub(super) struct ShareUpdater {
    applied: Option<ShareInputs>,
    /// Whether loans were restricted at the last update, as this process had just started.
    loans_restricted: bool,
}

impl ShareUpdater {
    pub(super) fn update(&mut self, engine: &ProxyEngine, groups: &[Arc<ServiceGroup>]) {
        let Some(settings) = engine.settings() else { return };
        let inputs = ShareInputs {
            settings: settings.version,
            instances: engine.membership().known_version(),
            members: engine.member_changes(),
        };
        let changed = self.applied != Some(inputs);
        // The restriction on loans after a start depends on the time.
        let were_restricted =
            std::mem::replace(&mut self.loans_restricted, engine.loans().is_starting());
        if changed || were_restricted && engine.loans().is_used() {
            update_modes(engine);
        }
        if changed {
            assign_shares(engine, groups, &settings);
            self.applied = Some(inputs);
        }
    }
}

fn assign_shares(engine: &ProxyEngine, groups: &[Arc<ServiceGroup>], settings: &FleetSettings) {
    let own = &engine.identity().name;
    let all = engine.membership().known();
    let holders = engine.holder_candidates();
    for group in groups {
        let rules = &settings.services;
        if let Ok(index) = rules.binary_search_by(|rule| rule.service.cmp(group.service())) {
            let connections_max = rules[index].connections_max;
            let holders = engine.forwards(connections_max).then_some(holders.as_slice());
            group.assign_connection_shares(connections_max, own, &all, holders);
        }
    }
}
