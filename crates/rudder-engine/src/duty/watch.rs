//! Watches the primaries: sends a cheap request where no traffic provides a recent sample.
//!
//! Only readers do so, since each watch occupies one of a primary's few connections.
//! [`rudder_decisions::WatchPlan`] says which of them watch a primary, and how often.

use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::{GroupMember, ServiceGroup};
use crate::interfaces::{LinkError, MemberLink};
use crate::peers::{PeerMessage, PrimaryProbe};
use crate::statement::MemberCommand;
use rudder_core::{LogStamp, MemberName, ServiceName};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Timeout of one request: the longest round trip between regions, and one retransmission.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);

/// Age of the newest sample below which a requested one is not taken: a primary that was lost since
/// is found by the next request.
const REQUESTED_SAMPLE_AGE: Duration = Duration::from_millis(200);

/// Delay before a failed request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Interval between checks of which services this instance watches.
const PLAN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The same interval on readers that watch all primaries closely: callers of a new service then wait
/// for its first sample.
const CLOSE_PLAN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs one watch for each service that this instance watches.
pub(crate) async fn supervise(engine: Arc<ProxyEngine>) {
    let mut watches: Vec<PrimaryWatch> = Vec::new();
    loop {
        watches.retain(|watch| !watch.task.is_finished());
        let is_reader = engine.membership().is_reader();
        if is_reader {
            start_missing(&engine, &mut watches);
        }
        let is_close = is_reader && engine.watch_plan().is_close();
        let interval = if is_close { CLOSE_PLAN_POLL_INTERVAL } else { PLAN_POLL_INTERVAL };
        tokio::time::sleep(interval).await;
    }
}

fn start_missing(engine: &Arc<ProxyEngine>, watches: &mut Vec<PrimaryWatch>) {
    let plan = engine.watch_plan();
    for group in engine.groups().iter() {
        let found = watches.binary_search_by(|watch| watch.service.cmp(group.service()));
        if let Err(index) = found
            && engine.membership().watches(plan, group.service())
        {
            let service = group.service().clone();
            let task = tokio::spawn(monitor_primary(Arc::clone(engine), Arc::clone(group)));
            watches.insert(index, PrimaryWatch { service, task });
        }
    }
}

/// Watch of one service. The list of them is sorted by service.
struct PrimaryWatch {
    service: ServiceName,
    task: JoinHandle<()>,
}

/// Requests a sample of the primary of a group, from this instance's watch or from those of others.
/// A statement that gets no answer detects a lost primary sooner than its watchers, which may take
/// a sample only every few seconds.
pub(crate) async fn request_sample(engine: &ProxyEngine, group: &ServiceGroup) {
    group.request_position();
    if engine.watch_plan().is_close() || !group.begin_probe_request() {
        return;
    }
    let Some(exchange) = engine.exchange() else { return };
    let service = group.service().clone();
    let is_relayed = engine.membership().is_reader();
    let receivers = if is_relayed {
        engine.membership().watcher_addresses(engine.watch_plan(), &service)
    } else {
        // Only readers know the readers of other failure domains.
        engine.membership().sources().into_iter().take(1).collect()
    };
    let probe = PeerMessage::ProbePrimary(PrimaryProbe { service, is_relayed });
    exchange.send_all(&probe, &receivers).await;
}

/// Handles another instance's request for a sample of a primary. Services that are not known here
/// are ignored.
pub(super) async fn handle_probe_request(engine: &ProxyEngine, probe: PrimaryProbe) {
    let groups = engine.groups();
    let found = groups.binary_search_by(|group| group.service().cmp(&probe.service));
    let Ok(index) = found else {
        metrics::counter!("rudder_probes_ignored_total", "reason" => "unknown_service")
            .increment(1);
        return;
    };
    match probe.is_relayed {
        true => groups[index].request_position(),
        false => request_sample(engine, &groups[index]).await,
    }
}

/// Connection of a watch. It is not taken from the pool, so that a pool whose connections are all
/// in use does not look like a lost primary.
struct WatchLink {
    member: MemberName,
    link: Box<dyn MemberLink>,
}

/// Watches the primary of a group until this instance is no longer one of its watchers.
async fn monitor_primary(engine: Arc<ProxyEngine>, group: Arc<ServiceGroup>) {
    let mut link: Option<WatchLink> = None;
    let mut failing_since: Option<Duration> = None;
    loop {
        let plan = engine.watch_plan();
        if !engine.membership().watches(plan, group.service()) {
            group.clear_watch_failure();
            return;
        }
        let interval = plan.interval();
        let gap = if failing_since.is_some() { RETRY_DELAY } else { interval };
        let is_requested = group.wait_position_request(gap).await;
        let (epoch, primary) = group.with_leases(|leases| {
            let primary = leases.record().and_then(|record| record.primary().cloned());
            (leases.epoch(), primary)
        });
        let Some(member) = primary.and_then(|primary| group.member(&primary)) else {
            link = None;
            failing_since = None;
            continue;
        };
        if link.as_ref().is_some_and(|link| &link.member != member.name()) {
            link = None;
        }
        let sampled = group.newest_sample().map(|sample| sample.sent_at);
        let now = boot_time();
        let recent = if is_requested { REQUESTED_SAMPLE_AGE } else { interval * 4 / 5 };
        if failing_since.is_none() && sampled.is_some_and(|at| now < at + recent) {
            continue;
        }
        match sample_position(&engine, &member, &mut link).await {
            Ok(Some(stamp)) => {
                failing_since = None;
                let lease = group.with_leases(|leases| leases.lease(boot_time()));
                if let Some(lease) = lease.filter(|lease| lease.epoch == epoch) {
                    group.record_position(&lease, now, stamp);
                }
                group.clear_watch_failure();
            }
            Ok(None) => failing_since = None,
            Err(error) => {
                link = None;
                if failing_since.is_none() {
                    log::info!(
                        service:% = group.service(), member:% = member.name(), epoch:% = epoch,
                        reason:% = error; "the primary did not respond to a probe of this instance"
                    );
                }
                let since = *failing_since.get_or_insert(now);
                group.record_watch_failure(epoch, since);
            }
        }
    }
}

async fn sample_position(
    engine: &ProxyEngine,
    member: &GroupMember,
    link: &mut Option<WatchLink>,
) -> Result<Option<LogStamp>, LinkError> {
    let call = async {
        if link.is_none() {
            let dialed = engine.dependencies().dialer.dial(member.pool().target(), None).await?;
            *link = Some(WatchLink { member: member.name().clone(), link: dialed });
        }
        let Some(open) = link.as_mut() else { return Ok(None) };
        // A member replies to a reset with its position at once, however busy it is.
        open.link.send(&[MemberCommand::Reset]).await?;
        Ok(open.link.receive().await?.position)
    };
    match tokio::time::timeout(RESPONSE_TIMEOUT, call).await {
        Ok(Err(LinkError::Refused(_))) => Ok(None),
        Ok(result) => result,
        Err(_) => Err(LinkError::Silent),
    }
}
