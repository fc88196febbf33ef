//! Which instance runs a request: this one or a holder of connections for the caller's account.

use super::connection::ForwardResult;
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
    /// Returns the holder that runs a request; `None` if this instance runs it.
    pub(super) fn choose_holder(
        &self,
        access: &RouteAccess,
        _strict: bool,
    ) -> Option<HolderTarget> {
        let account = access.account.as_ref()?;
        let settings = self.settings()?;
        let accounts = settings.accounts.as_ref()?;
        let services = &settings.services;
        let found = services.binary_search_by(|rule| rule.service.cmp(&access.route.service));
        let index = found.ok()?;
        let (entries, _) = self.membership().entries();
        if entries.len() * accounts.len() <= services[index].connections_max as usize {
            return None;
        }
        let usable = entries.iter().filter(|entry| !entry.marked).map(|entry| &entry.instance);
        for holder in rank_owners(account, usable, entries.len()) {
            if holder == self.identity_name() {
                return None;
            }
            let entry = entries.iter().find(|entry| entry.instance == *holder);
            if let Some(entry) = entry
                && self.forwarding().board().is_usable(holder)
            {
                let (instance, address) = (holder.clone(), entry.address);
                return Some(HolderTarget { instance, address });
            }
        }
        None
    }

    /// Records what a request showed about its holder.
    pub(super) fn record_holder(&self, holder: &HolderTarget, result: &ForwardResult) {
        if !matches!(result, ForwardResult::Reply(_)) {
            self.forwarding().board().record_failure(&holder.instance);
        }
    }
}
