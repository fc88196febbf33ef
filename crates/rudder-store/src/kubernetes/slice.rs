//! The platform's list of instances, read from its endpoint slices.

use crate::store::{InstanceEntry, InstanceReadiness};
use k8s_openapi::api::discovery::v1::{Endpoint, EndpointSlice};
use rudder_core::InstanceName;

/// The instances of all slices, sorted by name. One named in two slices is leaving if either says
/// so: a slice that lags must not bring it back.
pub(crate) fn instances_from_slices(slices: &[EndpointSlice]) -> Vec<InstanceEntry> {
    let endpoints = slices.iter().flat_map(|slice| slice.endpoints.iter().flatten());
    let mut entries: Vec<InstanceEntry> = endpoints.filter_map(instance_from_endpoint).collect();
    entries.sort_by(|one, other| {
        (&one.name, std::cmp::Reverse(one.readiness))
            .cmp(&(&other.name, std::cmp::Reverse(other.readiness)))
    });
    entries.dedup_by(|next, kept| next.name == kept.name);
    entries
}

/// An endpoint that is neither ready nor terminating is not live yet and is left out.
fn instance_from_endpoint(endpoint: &Endpoint) -> Option<InstanceEntry> {
    let address = endpoint.addresses.first()?.parse().ok()?;
    let name = instance_name(endpoint)?;
    let conditions = endpoint.conditions.as_ref();
    let terminating = conditions.and_then(|conditions| conditions.terminating).unwrap_or(false);
    // The API's convention: no word about readiness means ready.
    let ready = conditions.and_then(|conditions| conditions.ready).unwrap_or(true);
    let readiness = match (terminating, ready) {
        (true, _) => InstanceReadiness::Leaving,
        (false, true) => InstanceReadiness::Ready,
        (false, false) => return None,
    };
    Some(InstanceEntry { name, address, readiness })
}

/// The name of the process behind the endpoint: its reference's, its host's, or its address.
fn instance_name(endpoint: &Endpoint) -> Option<InstanceName> {
    let reference = endpoint.target_ref.as_ref().and_then(|reference| reference.name.as_deref());
    let name = reference
        .or(endpoint.hostname.as_deref())
        .or(endpoint.addresses.first().map(String::as_str))?;
    name.parse().ok()
}
