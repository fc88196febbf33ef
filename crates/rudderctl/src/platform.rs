//! Reads the accepted settings from the platform.

use crate::error::CommandError;
use rudder_core::{MemberName, ServiceName};
use rudder_settings::{FleetSettings, MemberSettings};
use rudder_store::{KubeStore, PlatformStore, RevisionBundle, poll_revision};

/// Reads the accepted revision with its files.
pub(crate) async fn accepted_bundle(
    store: &dyn PlatformStore,
) -> Result<RevisionBundle, CommandError> {
    let bundle = poll_revision(store, None).await?;
    bundle.ok_or(CommandError::NothingAccepted)
}

/// Reads the settings of a member from the accepted revision.
pub(crate) async fn accepted_member(
    store: &KubeStore,
    service: &ServiceName,
    member: &MemberName,
) -> Result<MemberSettings, CommandError> {
    let merged = accepted_bundle(store).await?.merge()?;
    find_member(&merged.fleet, service, member).cloned()
}

fn find_member<'f>(
    fleet: &'f FleetSettings,
    service: &ServiceName,
    member: &MemberName,
) -> Result<&'f MemberSettings, CommandError> {
    let group = fleet.service(service).ok_or_else(|| CommandError::NoService(service.clone()))?;
    let found = group.members.iter().find(|known| known.name == *member);
    found.ok_or_else(|| {
        let names: Vec<&str> = group.members.iter().map(|known| known.name.as_str()).collect();
        let (service, member) = (service.clone(), member.clone());
        CommandError::NoMember { service, member, known: names.join(", ") }
    })
}
