//! Reads the platform's instance list from its endpoint slices.

use crate::store::{InstanceEntry, InstanceReadiness};
use k8s_openapi::api::discovery::v1::{Endpoint, EndpointSlice};
use rudder_core::InstanceName;

/// Returns the instances of all slices, sorted by name. An instance in several slices is leaving if
/// any slice says so, because a slice that lags may still list it as ready.
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

/// Converts an endpoint. One that is neither ready nor terminating is not live yet and is omitted.
fn instance_from_endpoint(endpoint: &Endpoint) -> Option<InstanceEntry> {
    let address = endpoint.addresses.first()?.parse().ok()?;
    let name = instance_name(endpoint)?;
    let conditions = endpoint.conditions.as_ref();
    let terminating = conditions.and_then(|conditions| conditions.terminating).unwrap_or(false);
    // The API defines an absent ready condition as ready.
    let ready = conditions.and_then(|conditions| conditions.ready).unwrap_or(true);
    let readiness = match (terminating, ready) {
        (true, _) => InstanceReadiness::Leaving,
        (false, true) => InstanceReadiness::Ready,
        (false, false) => return None,
    };
    Some(InstanceEntry { name, address, readiness })
}

/// Returns the name of the endpoint's target, or else its host name, or else its address.
fn instance_name(endpoint: &Endpoint) -> Option<InstanceName> {
    let reference = endpoint.target_ref.as_ref().and_then(|reference| reference.name.as_deref());
    let name = reference
        .or(endpoint.hostname.as_deref())
        .or(endpoint.addresses.first().map(String::as_str))?;
    name.parse().ok()
}
