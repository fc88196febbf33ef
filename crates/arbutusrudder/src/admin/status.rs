//! Contents of the status page, and the gauges derived from them.

use crate::context::InstanceContext;
use crate::group::GroupState;
use rudder_core::FreshnessSamples;
use serde::Serialize;
use std::sync::atomic::Ordering;

/// Status of an instance.
#[derive(Debug, Serialize)]
pub(crate) struct InstanceStatus {
    instance: String,
    domain: String,
    revision: u64,
    leaving: bool,
    instances: u32,
    groups: Vec<GroupStatus>,
}

/// State of a group as this instance knows it.
#[derive(Debug, Serialize)]
struct GroupStatus {
    service: String,
    primary: Option<String>,
    term: Option<u64>,
    /// Age of the newest position sample of the group, in milliseconds.
    known_ms: Option<u128>,
    members: Vec<MemberSummary>,
}

/// State of a member as this instance knows it.
#[derive(Debug, Serialize)]
struct MemberSummary {
    name: String,
    role: Option<String>,
    accepted_term: Option<u64>,
    received: Option<String>,
    applied: Option<String>,
    health: String,
    in_flight: u32,
    /// Open connections for callers, including idle ones.
    connections: u32,
    window: u32,
}

impl InstanceStatus {
    /// Builds the current status.
    pub(crate) fn of(context: &InstanceContext) -> Self {
        let fleet = context.fleet.load();
        Self {
            instance: context.name().to_string(),
            domain: context.domain().to_string(),
            revision: fleet.revision,
            leaving: context.is_leaving(),
            instances: context.instance_count(),
            groups: fleet.groups.iter().map(|group| group_status(group)).collect(),
        }
    }

    /// Sets the gauges that are derived from the status.
    pub(crate) fn record(&self) {
        metrics::gauge!("rudder_instances").set(f64::from(self.instances));
        for group in &self.groups {
            let service = group.service.clone();
            metrics::gauge!("rudder_term", "service" => service.clone())
                .set(group.term.unwrap_or_default() as f64);
            for member in &group.members {
                let labels = [("service", service.clone()), ("member", member.name.clone())];
                metrics::gauge!("rudder_member_in_flight", &labels)
                    .set(f64::from(member.in_flight));
                metrics::gauge!("rudder_member_connections", &labels)
                    .set(f64::from(member.connections));
            }
            if let Some(known) = group.known_ms {
                metrics::gauge!("rudder_knowledge_age_seconds", "service" => service)
                    .set(known as f64 / 1000.0);
            }
        }
    }
}

fn group_status(group: &GroupState) -> GroupStatus {
    let primary = group.primary();
    let newest = group.reports.with_samples(FreshnessSamples::newest);
    let known = newest.map(|sample| group.reports.now().saturating_sub(sample.sent_at));
    GroupStatus {
        service: group.service.name.to_string(),
        primary: primary.as_ref().map(|primary| group.members[primary.index].name().to_string()),
        term: primary.map(|primary| primary.term.0),
        known_ms: known.map(|known| known.as_millis()),
        members: (0..group.members.len()).map(|index| member_summary(group, index)).collect(),
    }
}

fn member_summary(group: &GroupState, index: usize) -> MemberSummary {
    let member = &group.members[index];
    let status = group.reports.status_of(member.name());
    MemberSummary {
        name: member.name().to_string(),
        role: status.map(|status| status.role.to_string()),
        accepted_term: status.map(|status| status.accepted.0),
        received: status.map(|status| status.received.to_string()),
        applied: status.map(|status| status.applied.to_string()),
        health: member.health().to_string(),
        in_flight: member.in_flight.load(Ordering::Relaxed),
        connections: member.pool.open_count(),
        window: member.in_flight_limit(),
    }
}
