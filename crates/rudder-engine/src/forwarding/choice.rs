//! Which instance runs a request: this one or a holder of connections for the caller's account.

use super::result::{ForwardFault, ForwardResult};
use super::wire::DeclineReason;
use crate::engine::{ProxyEngine, RouteAccess};
use crate::group::{GroupMember, PlacementContext, nearest_usable};
use crate::statement::StatementError;
use rudder_core::{AccountName, InstanceName, LogStamp};
use rudder_decisions::{ForwardChoice, LocalPool, forward_choice};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Where a request runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RequestPlace {
    /// At this instance.
    Local,
    Holder(HolderTarget),
    /// Nowhere for now: all holders that can be reached are overloaded.
    Busy {
        retry_after: Duration,
    },
}

/// A holder and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HolderTarget {
    pub(crate) instance: InstanceName,
    pub(crate) address: SocketAddr,
}

impl ProxyEngine {
    /// Returns where a request runs. `strict` says whether only the primary may serve it.
    pub(super) fn choose_place(
        &self,
        access: &RouteAccess,
        strict: bool,
        floor: Option<LogStamp>,
    ) -> RequestPlace {
        let Some(account) = &access.account else { return RequestPlace::Local };
        let Some(member) = self.expected_member(access, strict, floor) else {
            return RequestPlace::Local;
        };
        let known = self.member_holders(&access.route.service, account, &member);
        if !known.is_needed {
            return RequestPlace::Local;
        }
        let own = self.identity_name();
        let (names, now) = (&known.holders.names, Instant::now());
        // Connections of instances that are no holders would add up beyond the member's limit, so
        // they are used only while no holder can be, and then expire.
        let is_warm = known.pool.is_warm && names.contains(own);
        let pool = LocalPool { is_warm, ..known.pool };
        let mut board = self.holders().board();
        match forward_choice(own, account, names, pool, &mut board, now) {
            ForwardChoice::Local => RequestPlace::Local,
            ForwardChoice::Forward(instance) => match known.holders.address(&instance) {
                Some(address) => RequestPlace::Holder(HolderTarget { instance, address }),
                None => RequestPlace::Local,
            },
            ForwardChoice::Busy { retry_after } => RequestPlace::Busy { retry_after },
        }
    }

    /// Returns the member that most likely serves a request. Whether this instance has free
    /// connections to it does not count, so that the holder of an account changes rarely.
    fn expected_member(
        &self,
        access: &RouteAccess,
        strict: bool,
        floor: Option<LogStamp>,
    ) -> Option<Arc<GroupMember>> {
        let group = self.group(&access.route.service);
        if strict {
            return Some(self.serving_primary(&group)?.0);
        }
        let floor = floor.unwrap_or_default();
        let floor_age = group.age_of(floor);
        let context = PlacementContext { own: self.identity().place(), floor, floor_age };
        nearest_usable(&group.members(), &context)
    }

    /// Records what a request of an account showed about its holder.
    pub(super) fn record_holder(
        &self,
        holder: &InstanceName,
        account: Option<&AccountName>,
        result: &ForwardResult,
    ) {
        let Some(account) = account else { return };
        let now = Instant::now();
        let mut board = self.holders().board();
        match result {
            // The request waited at the holder until its wait was over. Sent to the same holder, the
            // account's next requests would wait as long.
            ForwardResult::Reply(reply) if reply.error() == Some(&StatementError::Busy) => {
                board.record_reply(holder);
                board.record_overloaded(holder, account, now);
            }
            ForwardResult::Reply(_) => board.record_reply(holder),
            ForwardResult::Declined(DeclineReason::Draining) => board.record_draining(holder, now),
            ForwardResult::Declined(DeclineReason::Overloaded)
            | ForwardResult::NotSent(ForwardFault::QueueFull) => {
                board.record_reply(holder);
                board.record_overloaded(holder, account, now);
            }
            // Nothing is known of the holder yet.
            ForwardResult::NotSent(ForwardFault::Connecting) => {}
            // The holder is usable, but not for this request.
            ForwardResult::Declined(_)
            | ForwardResult::NotSent(ForwardFault::TooLarge)
            | ForwardResult::Lost(ForwardFault::Undeliverable) => board.record_reply(holder),
            ForwardResult::NotSent(_) | ForwardResult::Lost(_) => {
                board.record_unreachable(holder, now);
            }
        }
    }
}
