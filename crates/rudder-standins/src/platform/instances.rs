//! The platform's instance list, in which changes become visible after a lag.

use rudder_core::{InstanceName, plain_data};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::IpAddr;
use std::time::{Duration, Instant};

plain_data! {
    /// An instance in the platform's list.
    #[derive(Serialize, Deserialize)]
    pub struct StandinInstance {
        /// Name of the instance.
        pub name: InstanceName,
        /// IP address of the instance.
        pub address: IpAddr,
        /// Whether the instance is leaving.
        #[serde(default)]
        pub leaving: bool,
    }
}

/// Currently visible list, and pending lists with the time at which each becomes visible.
#[derive(Default)]
pub(crate) struct InstanceList {
    visible: Vec<StandinInstance>,
    pending: Vec<(Instant, Vec<StandinInstance>)>,
}

impl InstanceList {
    /// Replaces the list; the change becomes visible `lag` after `now`.
    pub(crate) fn set(&mut self, entries: Vec<StandinInstance>, now: Instant, lag: Duration) {
        self.pending.push((now + lag, entries));
    }

    /// Returns the list visible at `now` as an `EndpointSliceList`.
    pub(crate) fn endpoint_slices(&mut self, service: &str, now: Instant) -> Value {
        let due = self.pending.iter().take_while(|(visible_at, _)| *visible_at <= now).count();
        if let Some((_, entries)) = self.pending.drain(..due).next_back() {
            self.visible = entries;
        }
        let endpoints: Vec<Value> = self.visible.iter().map(endpoint).collect();
        json!({
            "apiVersion": "discovery.k8s.io/v1",
            "kind": "EndpointSliceList",
            "metadata": {},
            "items": [{
                "apiVersion": "discovery.k8s.io/v1",
                "kind": "EndpointSlice",
                "metadata": {
                    "name": format!("{service}-0"),
                    "labels": { "kubernetes.io/service-name": service },
                },
                "addressType": "IPv4",
                "endpoints": endpoints,
            }],
        })
    }
}

fn endpoint(instance: &StandinInstance) -> Value {
    json!({
        "addresses": [instance.address],
        "conditions": {
            "ready": !instance.leaving,
            "serving": true,
            "terminating": instance.leaving,
        },
        "targetRef": { "kind": "Pod", "name": instance.name },
    })
}
