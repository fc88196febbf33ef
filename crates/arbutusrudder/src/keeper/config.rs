//! What a keeper is given when it starts.

use super::exchange::ObserverExchange;
use rudder_core::{DomainName, InstanceName, PlanMember, ServiceName};
use rudder_endpoint::MemberControl;
use rudder_settings::{MemberSettings, TimingSettings};
use rudder_store::PlatformStore;
use std::cmp::Reverse;
use std::sync::Arc;

/// One member and the channel to it.
#[derive(Clone)]
pub(crate) struct KeeperMember {
    /// The member, with its preference among equals.
    pub(crate) member: PlanMember,
    /// Its control channel.
    pub(crate) control: Arc<dyn MemberControl>,
}

/// Everything that the keeper of one group works with.
#[derive(Clone)]
pub(crate) struct KeeperConfig {
    /// The group's service.
    pub(crate) service: ServiceName,
    /// This instance.
    pub(crate) instance: InstanceName,
    /// The failure domain that this instance stands in.
    pub(crate) domain: DomainName,
    /// The group's members.
    pub(crate) members: Vec<KeeperMember>,
    /// The operators' bounds in time.
    pub(crate) timing: TimingSettings,
    /// The platform.
    pub(crate) store: Arc<dyn PlatformStore>,
    /// The other observers.
    pub(crate) exchange: Arc<dyn ObserverExchange>,
}

/// Orders members for the choice among equally advanced logs: those that stay before those that
/// are draining, then the faster hardware, then by name.
pub(crate) fn rank_by_preference(members: &[MemberSettings]) -> Vec<PlanMember> {
    let mut sorted: Vec<_> = members.iter().collect();
    sorted.sort_by_key(|member| (member.draining, Reverse(member.speed), &member.name));
    let ranked = (0..).zip(sorted);
    ranked
        .map(|(preference, member)| PlanMember { name: member.name.clone(), preference })
        .collect()
}
