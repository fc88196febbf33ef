//! Part of the fleet that this instance is connected to, and the part of each limit that it may
//! grant as an owner (`rudder_decisions::FleetReach`).

use crate::clock::boot_time;
use crate::engine::ProxyEngine;
use crate::peers::{PeerExchange, PeerMessage, ReachNotice};
use crate::settings::AccountTable;
use rudder_core::InstanceName;
use rudder_decisions::{DomainCount, FleetReach, ReachReport};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks of the reach, and minimum interval between reports.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reports while fewer instances are lost than found.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Interval between checks whether the settings limit an account, as long as they limit none.
const UNUSED_INTERVAL: Duration = Duration::from_millis(1000);

/// Change in thousandths of a limit above which the part that this instance may grant is logged.
const LOGGED_CHANGE_PERMILLE: u64 = 100;

/// Part of the fleet that this instance is connected to, as last worked out.
#[derive(Clone, Copy, Debug)]
pub(super) struct KnownReach {
    reach: FleetReach,
    computed_at: Duration,
    logged_permille: u64,
}

/// Reports that this instance sent as a hub.
#[derive(Debug, Default)]
struct SentReport {
    sent_at: Option<Duration>,
    own_count: usize,
    reached: usize,
}

impl SentReport {
    /// Whether a report is due: regularly, and at once if instances were lost.
    fn is_due(&self, own_count: usize, reached: usize, now: Duration) -> bool {
        own_count < self.own_count
            || reached < self.reached
            || self.sent_at.is_none_or(|at| now >= at + REPORT_INTERVAL)
    }
}

impl ProxyEngine {
    fn limits_accounts(&self) -> bool {
        let settings = self.settings();
        let accounts = settings.as_ref().and_then(|settings| settings.accounts.as_ref());
        accounts.is_some_and(AccountTable::has_limits)
    }

    /// Returns the part of the fleet that this instance is connected to.
    pub(super) fn fleet_reach(&self) -> FleetReach {
        let now = boot_time();
        let known = self.limits().state().reach;
        match known {
            // A process that was suspended must not grant by what it knew before.
            Some(known) if now < known.computed_at + 2 * CHECK_INTERVAL => known.reach,
            _ => self.update_reach(),
        }
    }

    fn update_reach(&self) -> FleetReach {
        let own_count = self.membership().own_domain_count();
        let listed = self.membership().domain_counts();
        let now = boot_time();
        let mut state = self.limits().state();
        let reach = state.reach_board.reach(own_count, &listed, now);
        let permille = reach.permille();
        let logged = state.reach.map_or(1000, |known| known.logged_permille);
        let is_logged = permille.abs_diff(logged) >= LOGGED_CHANGE_PERMILLE;
        let logged_permille = if is_logged { permille } else { logged };
        state.reach = Some(KnownReach { reach, computed_at: now, logged_permille });
        drop(state);
        if is_logged {
            log::info!(
                reached = reach.reached, listed = reach.listed, permille = permille;
                "the part of the limits that this instance may grant changed"
            );
        }
        metrics::gauge!("rudder_limit_part_ratio").set(permille as f64 / 1000.0);
        reach
    }

    /// Records a hub's report.
    pub(crate) fn handle_reach_notice(&self, notice: ReachNotice, from: SocketAddr) {
        let report = ReachReport::from(notice);
        let domain = self.membership().domain_of(&report.reporter, from);
        if domain.as_ref() != Some(&report.own.domain) {
            return reject(from, "unknown_sender");
        }
        let listed = self.membership().domain_counts();
        let is_listed = |count: &DomainCount| {
            listed.binary_search_by(|known| known.domain.cmp(&count.domain)).is_ok()
        };
        if !report.others.iter().all(is_listed) {
            return reject(from, "unknown_domain");
        }
        if !self.limits().state().reach_board.record(report, boot_time()) {
            reject(from, "too_many_reporters");
        }
    }
}

/// Counts and logs a report that is not accepted.
fn reject(from: SocketAddr, reason: &'static str) {
    metrics::counter!("rudder_reach_reports_rejected_total", "reason" => reason).increment(1);
    log::debug!(peer:% = from, reason = reason; "a report about the reach of a hub was rejected");
}

/// Works out the reach of this instance, and reports it to others if this instance is a hub.
pub(crate) async fn report_reach(engine: Arc<ProxyEngine>, exchange: PeerExchange) {
    let mut sent = SentReport::default();
    loop {
        if !engine.limits_accounts() {
            tokio::time::sleep(UNUSED_INTERVAL).await;
            continue;
        }
        let reach = engine.update_reach();
        if let Some(own_count) = engine.membership().own_domain_count() {
            let now = boot_time();
            if sent.is_due(own_count, reach.reached, now) {
                send_report(&engine, &exchange, own_count).await;
                sent = SentReport { sent_at: Some(now), own_count, reached: reach.reached };
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn send_report(engine: &ProxyEngine, exchange: &PeerExchange, own_count: usize) {
    let now = boot_time();
    let (others, reporters) = {
        let state = engine.limits().state();
        let reporters: Vec<InstanceName> = state.reach_board.reporters(now).cloned().collect();
        (state.reach_board.other_counts(now), reporters)
    };
    let remote = engine.membership().remote_hubs(&reporters);
    let identity = engine.identity();
    let own = DomainCount { domain: identity.domain.clone(), count: own_count };
    let report = ReachReport { reporter: identity.name.clone(), own, others };
    let to_hubs = ReachReport { others: Vec::new(), ..report.clone() };
    exchange.send_all(&PeerMessage::Reach(to_hubs.into()), &remote).await;
    let near = engine.membership().domain_receivers();
    exchange.send_all(&PeerMessage::Reach(report.into()), &near).await;
}
