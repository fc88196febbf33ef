//! Tests of reading the instance list from endpoint slices.

use super::slice::instances_from_slices;
use crate::store::InstanceReadiness;
use k8s_openapi::api::discovery::v1::EndpointSlice;
use serde_json::json;

fn slice(name: &str, ready: Option<bool>, terminating: Option<bool>) -> EndpointSlice {
    let slice = json!({
        "addressType": "IPv4",
        "metadata": {},
        "endpoints": [{
            "addresses": ["10.0.0.1"],
            "conditions": { "ready": ready, "terminating": terminating },
            "targetRef": { "name": name },
        }],
    });
    serde_json::from_value(slice).expect("the slice is valid")
}

fn readiness(slices: &[EndpointSlice]) -> Vec<InstanceReadiness> {
    instances_from_slices(slices).into_iter().map(|entry| entry.readiness).collect()
}

/// An instance that shuts down moves to another slice. For a short time both slices list it, and
/// the older one still says ready. If that one took precedence, the instance would receive new
/// requests until it exits.
#[test]
fn leaving_takes_precedence_over_ready() {
    let ready = slice("a", Some(true), Some(false));
    let leaving = slice("a", Some(false), Some(true));

    let one = readiness(&[ready.clone(), leaving.clone()]);
    let other = readiness(&[leaving, ready]);

    assert_eq!(one, [InstanceReadiness::Leaving]);
    assert_eq!(other, [InstanceReadiness::Leaving]);
}

#[test]
fn instances_that_are_not_live_yet_are_left_out() {
    let starting = slice("a", Some(false), Some(false));
    let without_conditions = slice("b", None, None);

    let listed = readiness(&[starting, without_conditions]);

    assert_eq!(listed, [InstanceReadiness::Ready]);
}
