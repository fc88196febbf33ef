//! Applies new settings and keeps the state of groups whose settings did not change.

use crate::context::{FleetState, InstanceContext};
use crate::group::{GroupContext, GroupState};
use rudder_settings::{FleetSettings, ServiceSettings};
use std::sync::Arc;

/// Replaces the settings in force with validated ones.
pub(crate) fn apply_settings(
    context: &Arc<InstanceContext>,
    revision: u64,
    settings: &FleetSettings,
) {
    let previous = context.fleet.load();
    let group_context = GroupContext {
        domain: context.domain().clone(),
        domains: settings.domains.clone(),
        instances: context.instance_count(),
        origin: context.origin,
        routes: context.process.routes.clone(),
        limits: context.policies.admission_limits,
    };
    let same_timing_and_domains = previous.settings.timing == settings.timing
        && previous.settings.domains == settings.domains;
    let reuse_or_create = |service: &ServiceSettings| {
        let known = previous.group(&service.name);
        match known.filter(|known| same_timing_and_domains && known.service == *service) {
            Some(known) => Arc::clone(known),
            None => {
                Arc::new(GroupState::new(service.clone(), settings.timing.clone(), &group_context))
            }
        }
    };
    let groups = settings.services.iter().map(reuse_or_create).collect();
    let fleet = FleetState { revision, settings: settings.clone(), groups };
    context.fleet.store(Arc::new(fleet));
    context.fleet_changes.send_modify(|count| *count += 1);
}
