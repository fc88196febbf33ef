//! Configuration of a keeper.

use super::exchange::ObserverExchange;
use rudder_core::{DomainName, InstanceName, PlanMember, ServiceName};
use rudder_endpoint::MemberControl;
use rudder_settings::{MemberSettings, TimingSettings};
use rudder_store::PlatformStore;
use std::cmp::Reverse;
use std::sync::Arc;

/// One member and its control channel.
#[derive(Clone)]
pub(crate) struct KeeperMember {
    /// The member, with its preference among candidates with equally advanced logs.
    pub(crate) member: PlanMember,
    /// The member's control channel.
    pub(crate) control: Arc<dyn MemberControl>,
}

/// Configuration and connections of the keeper of one group.
#[derive(Clone)]
pub(crate) struct KeeperConfig {
    /// The group's service.
    pub(crate) service: ServiceName,
    /// This instance.
    pub(crate) instance: InstanceName,
    /// The failure domain of this instance.
    pub(crate) domain: DomainName,
    /// The group's members.
    pub(crate) members: Vec<KeeperMember>,
    /// The operators' timing settings.
    pub(crate) timing: TimingSettings,
    /// The platform's object store.
    pub(crate) store: Arc<dyn PlatformStore>,
    /// The exchange of votes with the group's other keepers.
    pub(crate) exchange: Arc<dyn ObserverExchange>,
}

/// Ranks the members for the choice among candidates with equally advanced logs: members that are
/// not draining first, then the faster hardware, then by name.
pub(crate) fn rank_by_preference(members: &[MemberSettings]) -> Vec<PlanMember> {
    let mut sorted: Vec<_> = members.iter().collect();
    sorted.sort_by_key(|member| (member.draining, Reverse(member.speed), &member.name));
    let ranked = (0..).zip(sorted);
    ranked
        .map(|(preference, member)| PlanMember { name: member.name.clone(), preference })
        .collect()
}
