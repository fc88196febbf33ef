//! The platform's list of instances, which shows a change only after its lag.

use rudder_core::{InstanceName, plain_data};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::net::IpAddr;
use std::time::{Duration, Instant};

plain_data! {
    /// One instance as the platform's list shows it.
    #[derive(Serialize, Deserialize)]
    pub struct StandinInstance {
        /// Its name.
        pub name: InstanceName,
        /// Its IP number.
        pub address: IpAddr,
        /// Whether it is leaving.
        #[serde(default)]
        pub leaving: bool,
    }
}

/// The list as it is shown, and as it will be shown.
#[derive(Default)]
pub(crate) struct InstanceList {
    visible: Vec<StandinInstance>,
    pending: Vec<(Instant, Vec<StandinInstance>)>,
}

impl InstanceList {
    /// Replaces the list; it is shown `lag` after `now`.
    pub(crate) fn set(&mut self, entries: Vec<StandinInstance>, now: Instant, lag: Duration) {
        self.pending.push((now + lag, entries));
    }

    /// The list as the API writes it, at `now`.
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
