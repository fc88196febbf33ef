//! Decides for each service whether its primary is to be changed, and deals out connections.

use super::change::{self, JudgedChange};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::{GroupMember, MemberState, ServiceGroup};
use crate::identity::DrainPhase;
use crate::lead::{GroupSigns, LeadPhase, LeaseTable, QUORUM_REACH, judge_change};
use crate::peers::PeerExchange;
use crate::sync::lock;
use rudder_core::{MemberName, MemberRole, ServiceName};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often the signs are judged.
const LOOK_GAP: Duration = Duration::from_millis(50);

/// Looks between two deals of connections.
const LOOKS_PER_DEAL: u32 = 5;

/// The age of the list of members from which on an entry that is missing in it says nothing.
const LIST_AGE_MAX: Duration = Duration::from_millis(3000);

/// The pause after a change that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// Since when signs have been seen that must last before they count.
#[derive(Clone, Debug, Default)]
struct LastingSigns {
    absent_since: Option<Duration>,
    usurped_since: Option<Duration>,
}

struct GroupWatch {
    service: ServiceName,
    signs: LastingSigns,
    /// No change is tried before this moment.
    pause_until: Duration,
}

/// Services with a change under way on this instance.
type Busy = Arc<Mutex<Vec<ServiceName>>>;

/// Judges all services again and again.
pub(crate) async fn keep(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    let busy = Busy::default();
    let mut watches: Vec<GroupWatch> = Vec::new();
    let mut looks = 0_u32;
    loop {
        tokio::time::sleep(LOOK_GAP).await;
        looks = looks.wrapping_add(1);
        let serves = engine.drain_phase() == DrainPhase::Serving;
        let may_act = serves && engine.membership().is_reader();
        for group in engine.groups() {
            group.drop_unlisted();
            let watch = watch_of(&mut watches, group.service());
            if may_act {
                look(&engine, &exchange, &group, watch, &busy);
            } else {
                watch.signs = LastingSigns::default();
            }
        }
        if looks.is_multiple_of(LOOKS_PER_DEAL) {
            deal_connections(&engine);
        }
    }
}

fn watch_of<'a>(watches: &'a mut Vec<GroupWatch>, service: &ServiceName) -> &'a mut GroupWatch {
    let index = match watches.binary_search_by(|watch| watch.service.cmp(service)) {
        Ok(index) => index,
        Err(index) => {
            let signs = LastingSigns::default();
            let pause_until = Duration::ZERO;
            watches.insert(index, GroupWatch { service: service.clone(), signs, pause_until });
            index
        }
    };
    &mut watches[index]
}

fn look(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    group: &Arc<ServiceGroup>,
    watch: &mut GroupWatch,
    busy: &Busy,
) {
    let now = boot_time();
    if now < watch.pause_until {
        return;
    }
    let leases = group.with_leases(|leases| leases.clone());
    let epoch = leases.epoch();
    let signs = read_signs(engine, group, &leases, &mut watch.signs, now);
    let votes = engine.membership().votes(group.service(), epoch, signs.silent_since.is_some());
    let cause = judge_change(&leases, &signs, &engine.identity().name, &votes, now);
    // Guards against a first record for a service that has one: the list that lacked it may have
    // been read before another instance wrote it.
    let unrecorded = leases.record().is_none() && engine.is_recordless(group.service());
    let may_record = engine.membership().is_first_reader() && !group.members().is_empty();
    let first = unrecorded && may_record;
    if cause.is_none() && !first {
        return;
    }
    {
        let mut busy = lock(busy);
        if busy.contains(group.service()) {
            return;
        }
        busy.push(group.service().clone());
    }
    watch.pause_until = now + FAILED_PAUSE;
    let since = [signs.silent_since, signs.absent_since, signs.usurped_since];
    let since = since.into_iter().flatten().min().unwrap_or(now);
    // Nobody who knows that the primary leaves sends it work by then, so there is nothing to stop.
    let primary = leases.record().and_then(|record| record.primary());
    let left = primary.and_then(|primary| group.member(primary));
    let left = left.is_some_and(|member| member.has_left(engine.leave_limit()));
    let alone = left || now >= since + QUORUM_REACH;
    let judged = cause.map(|cause| JudgedChange { cause, epoch, alone });
    spawn_change(engine, exchange, group, judged, busy);
}

fn spawn_change(
    engine: &Arc<ProxyEngine>,
    exchange: &PeerExchange,
    group: &Arc<ServiceGroup>,
    judged: Option<JudgedChange>,
    busy: &Busy,
) {
    let engine = Arc::clone(engine);
    let exchange = exchange.clone();
    let group = Arc::clone(group);
    let busy = Arc::clone(busy);
    tokio::spawn(async move {
        let word = judged.map_or("first", |judged| judged.cause.word());
        let outcome = match judged {
            Some(judged) => change::change_primary(&engine, &exchange, &group, judged).await,
            None => change::record_first(&engine, &exchange, &group).await,
        };
        match outcome {
            Ok(()) => log::info!(
                service:% = group.service(), cause = word, outcome = "done";
                "a change of primary ended"
            ),
            Err(error) => log::warn!(
                service:% = group.service(), cause = word, outcome = "not_done", reason:% = error;
                "a change of primary ended"
            ),
        }
        let mut busy = lock(&busy);
        busy.retain(|service| service != group.service());
    });
}

fn read_signs(
    engine: &ProxyEngine,
    group: &ServiceGroup,
    leases: &LeaseTable,
    lasting: &mut LastingSigns,
    now: Duration,
) -> GroupSigns {
    let members = group.members();
    let primary = leases.record().and_then(|record| record.primary().cloned());
    let present = primary.as_ref().and_then(|primary| group.member(primary));
    let listed = engine.members_confirmed_at().is_some_and(|at| now < at + LIST_AGE_MAX);
    let gone = present.as_ref().is_none_or(|primary| !primary.is_listed());
    let absent = listed && primary.is_some() && gone;
    let usurped = present.as_deref().is_some_and(|primary| is_usurped(primary, &members));
    lasting.absent_since = lasting_since(lasting.absent_since, absent, now);
    lasting.usurped_since = lasting_since(lasting.usurped_since, usurped, now);
    GroupSigns {
        silent_since: group.silent_since(),
        absent_since: lasting.absent_since,
        usurped_since: lasting.usurped_since,
        draining: present.is_some_and(|primary| !primary.serves_reads()),
        holder_ended: has_ended(engine, leases),
        replaceable: members.iter().any(|member| is_successor(member, primary.as_ref())),
    }
}

/// Whether the attempt that began a change is known to have ended: it was this instance's own, of
/// which only one at a time is under way, or its instance shows another process by now.
fn has_ended(engine: &ProxyEngine, leases: &LeaseTable) -> bool {
    let phase = leases.record().map(|record| &record.phase);
    let Some(LeadPhase::Changing { holder, process, .. }) = phase else { return false };
    if *holder == engine.identity().name {
        return true;
    }
    engine.membership().has_restarted(holder, *process, leases.seen_at())
}

fn lasting_since(since: Option<Duration>, seen: bool, now: Duration) -> Option<Duration> {
    seen.then(|| since.unwrap_or(now))
}

/// Whether the primary says that it does not lead, and another member says that it does.
fn is_usurped(primary: &GroupMember, members: &[Arc<GroupMember>]) -> bool {
    let leads = |member: &GroupMember| member.entry().role == MemberRole::Primary;
    let other = members.iter().any(|member| member.name() != primary.name() && leads(member));
    other && !leads(primary)
}

fn is_successor(member: &GroupMember, primary: Option<&MemberName>) -> bool {
    Some(member.name()) != primary && member.entry().state == MemberState::Ready
}

fn deal_connections(engine: &ProxyEngine) {
    let Some(settings) = engine.settings() else { return };
    let own = &engine.identity().name;
    let all = engine.membership().known();
    for group in engine.groups() {
        let rules = &settings.services;
        if let Ok(index) = rules.binary_search_by(|rule| rule.service.cmp(group.service())) {
            group.set_shares(rules[index].connections_max, own, &all);
        }
    }
}
