//! Watches the primaries: a cheap question where no traffic tells of them.
//!
//! Only the instances that read the store for all do so, since each watch takes one of a primary's
//! few connections.

use crate::border::{LinkError, MemberLink};
use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::group::{GroupMember, ServiceGroup};
use crate::statement::MemberCommand;
use rudder_core::{LogStamp, MemberName, ServiceName};
use std::sync::Arc;
use std::time::Duration;

/// The age of the newest sample from which on the primary is asked. A bounded read needs one
/// within its bound (a second and more), and a lost primary is to be noticed within half a second.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The most time for an answer: the longest round trip between regions, and a resent packet.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(350);

/// The pause after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// The pause between two looks for new services.
const SERVICE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps one watch a service.
pub(crate) async fn supervise(engine: Arc<ProxyEngine>) {
    let mut monitored: Vec<ServiceName> = Vec::new();
    loop {
        for group in engine.groups() {
            if let Err(index) = monitored.binary_search(group.service()) {
                monitored.insert(index, group.service().clone());
                tokio::spawn(monitor_primary(Arc::clone(&engine), group));
            }
        }
        // A caller of a service that is new here does not wait for the next look.
        engine.wait_position_request(SERVICE_POLL_INTERVAL).await;
    }
}

/// The connection of a watch. It is not one of the pool's, so that callers who hold all of those
/// do not look like a lost primary.
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
                    group.note_position(&lease, now, stamp);
                }
                group.note_alive();
            }
            Ok(None) => failing_since = None,
            Err(error) => {
                link = None;
                if failing_since.is_none() {
                    log::info!(
                        service:% = group.service(), member:% = member.name(), epoch:% = epoch,
                        reason:% = error; "the primary does not answer its watch"
                    );
                }
                let since = *failing_since.get_or_insert(now);
                group.note_silence(epoch, since);
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
            let dialed = engine.borders().dialer.dial(member.pool().target(), None).await?;
            *link = Some(WatchLink { member: member.name().clone(), link: dialed });
        }
        let Some(open) = link.as_mut() else { return Ok(None) };
        // Answered with the position at once, however busy the member is.
        open.link.send(&[MemberCommand::Reset]).await?;
        Ok(open.link.receive().await?.position)
    };
    match tokio::time::timeout(RESPONSE_TIMEOUT, call).await {
        Ok(Err(LinkError::Refused(_))) => Ok(None),
        Ok(result) => result,
        Err(_) => Err(LinkError::Silent),
    }
}
