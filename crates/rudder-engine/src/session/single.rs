//! Single statements that run at a member of this instance.

use super::job::StatementJob;
use crate::engine::ProxyEngine;
use crate::settings::{RouteKind, RouteRule};
use crate::statement::{StatementEffect, StatementReply};
use rudder_core::LogStamp;

/// Whether only the primary may serve a statement.
pub(crate) fn is_strict(route: &RouteRule, effect: StatementEffect) -> bool {
    route.kind == RouteKind::Strict || effect == StatementEffect::Write
}

impl ProxyEngine {
    /// Runs a single statement on a connection of this instance.
    pub(crate) async fn run_local(
        &self,
        route: &RouteRule,
        job: &StatementJob,
        session_floor: Option<LogStamp>,
    ) -> StatementReply {
        if is_strict(route, job.effect) {
            self.run_strict(route, job).await
        } else {
            self.read_bounded(route, job, session_floor).await
        }
    }
}
