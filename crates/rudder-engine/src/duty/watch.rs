//! Watches the primaries: sends a cheap request where no traffic provides a recent sample.
//!
//! Only readers do so, since each watch occupies one of a primary's few connections.

use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::{GroupMember, ServiceGroup};
use crate::interfaces::{LinkError, MemberLink};
use crate::statement::MemberCommand;
use rudder_core::{LogStamp, MemberName, ServiceName};
use std::sync::Arc;
use std::time::Duration;

/// Interval between samples of a primary. A read with a staleness bound needs a sample within its
/// bound (a second or more), and a lost primary must be detected within half a second.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of one request: the longest round trip between regions, and one retransmission.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);

/// Delay before a failed request is retried.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Interval between checks for new services.
const SERVICE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs one watch for each service.
pub(crate) async fn supervise(engine: Arc<ProxyEngine>) {
    let mut monitored: Vec<ServiceName> = Vec::new();
    loop {
        for group in engine.groups() {
            if let Err(index) = monitored.binary_search(group.service()) {
                monitored.insert(index, group.service().clone());
                tokio::spawn(monitor_primary(Arc::clone(&engine), group));
            }
        }
        // A request for positions ends the wait, so that a caller of a new service is not delayed.
        engine.wait_position_request(SERVICE_POLL_INTERVAL).await;
    }
}

/// Connection of a watch. It is not taken from the pool, so that a pool whose connections are all
/// in use does not look like a lost primary.
struct WatchLink {
    member: MemberName,
    link: Box<dyn MemberLink>,
}

async fn monitor_primary(engine: Arc<ProxyEngine>, group: Arc<ServiceGroup>) {
    let mut link: Option<WatchLink> = None;
    let mut failing_since: Option<Duration> = None;
    loop {
        let gap = if failing_since.is_some() { RETRY_DELAY } else { SAMPLE_INTERVAL };
        tokio::select! {
            () = engine.wait_position_request(gap) => {}
            () = group.wait_changed(gap) => {}
        }
        if !engine.membership().is_reader() {
            link = None;
            failing_since = None;
            continue;
        }
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
        if failing_since.is_none() && sampled.is_some_and(|at| now < at + SAMPLE_INTERVAL * 4 / 5) {
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
