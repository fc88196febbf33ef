//! Which instance runs a request: this one or a holder of connections for the caller's account.

use crate::engine::{ProxyEngine, RouteAccess};
use crate::sync::lock;
use rudder_core::InstanceName;
use rudder_decisions::rank_owners;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a holder that did not run a request is skipped; one heartbeat.
const SKIP_TIME: Duration = Duration::from_millis(1000);

/// A holder and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HolderTarget {
    pub(crate) instance: InstanceName,
    pub(crate) address: SocketAddr,
}

/// Instance that runs a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ForwardChoice {
    Local,
    Forward(HolderTarget),
}

/// What this instance has learned about holders.
#[derive(Default)]
pub(crate) struct HolderBoard {
    /// Holders to skip, sorted by name, with the end of the skip.
    skipped: Mutex<Vec<(InstanceName, Instant)>>,
}

impl HolderBoard {
    /// Records that a holder did not run a request.
    pub(super) fn record_failure(&self, holder: &InstanceName) {
        let now = Instant::now();
        let mut skipped = lock(&self.skipped);
        skipped.retain(|(_, until)| now < *until);
        let until = now + SKIP_TIME;
        match skipped.binary_search_by(|(known, _)| known.cmp(holder)) {
            Ok(index) => skipped[index].1 = until,
            Err(index) => skipped.insert(index, (holder.clone(), until)),
        }
    }

    fn is_usable(&self, holder: &InstanceName) -> bool {
        let skipped = lock(&self.skipped);
        let found = skipped.binary_search_by(|(known, _)| known.cmp(holder));
        found.is_err() || found.is_ok_and(|index| Instant::now() >= skipped[index].1)
    }
}

impl ProxyEngine {
    /// Chooses the instance that runs a request.
    pub(crate) fn forward_choice(&self, access: &RouteAccess) -> ForwardChoice {
        let Some(account) = &access.account else { return ForwardChoice::Local };
        let Some(settings) = self.settings() else { return ForwardChoice::Local };
        let Some(accounts) = &settings.accounts else { return ForwardChoice::Local };
        let services = &settings.services;
        let found = services.binary_search_by(|rule| rule.service.cmp(&access.route.service));
        let Ok(index) = found else { return ForwardChoice::Local };
        let (entries, _) = self.membership().entries();
        if entries.len() * accounts.len() <= services[index].connections_max as usize {
            return ForwardChoice::Local;
        }
        let usable = entries.iter().filter(|entry| !entry.marked).map(|entry| &entry.instance);
        for holder in rank_owners(account, usable, entries.len()) {
            if holder == self.identity_name() {
                return ForwardChoice::Local;
            }
            let entry = entries.iter().find(|entry| entry.instance == *holder);
            if let Some(entry) = entry
                && self.forwarding().board().is_usable(holder)
            {
                let (instance, address) = (holder.clone(), entry.address);
                return ForwardChoice::Forward(HolderTarget { instance, address });
            }
        }
        ForwardChoice::Local
    }
}
