//! Tests of the store over HTTP: versions, conflicts, lost responses, outages, and instances.

use crate::common::{standin, store, store_with_long_timeout};
use rudder_standins::{LinkSettings, LinkStandin, PlatformFaults, PlatformOutage, StandinInstance};
use rudder_store::{
    InstanceReadiness, KubeStore, ObjectKind, ObjectVersion, PlatformOptions, PlatformStore,
    StoreError,
};
use serde_json::json;
use std::time::Duration;

/// A call that takes longer than this is considered to hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of attempts to reach an expected state.
const TRIES_MAX: usize = 2000;

const KIND: ObjectKind = ObjectKind::SwitchOrder;

#[tokio::test]
async fn conditional_changes_follow_versions() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);

    let created = store.put(KIND, "a", None, json!({ "to": "one" })).await.unwrap();
    let duplicate = store.put(KIND, "a", None, json!({})).await;
    let replaced =
        store.put(KIND, "a", Some(&created.version), json!({ "to": "two" })).await.unwrap();
    let outdated = store.put(KIND, "a", Some(&created.version), json!({})).await;
    let listed = store.list(KIND).await.unwrap();

    assert_eq!(duplicate, Err(StoreError::Conflict));
    assert_eq!(outdated, Err(StoreError::Conflict));
    assert_eq!(listed, vec![replaced.clone()]);
    assert_eq!(store.get(KIND, "a").await.unwrap(), Some(replaced.clone()));
    assert_eq!(store.delete(KIND, "a", &created.version).await, Err(StoreError::Conflict));
    assert_eq!(store.delete(KIND, "a", &replaced.version).await, Ok(()));
    assert_eq!(store.get(KIND, "a").await, Ok(None));
    assert_eq!(
        store.put(KIND, "a", Some(&ObjectVersion("1".to_owned())), json!({})).await,
        Err(StoreError::Conflict)
    );
}

/// The platform applies a write, and the connection is lost before the response. If the writer
/// treated this as "nothing changed", it would write again and overwrite changes made in between.
#[tokio::test]
async fn lost_response_is_unresolved_and_the_change_is_stored() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    standin.set_faults(PlatformFaults { lost_answers: 1, ..PlatformFaults::default() });

    let result = store.put(KIND, "a", None, json!({ "to": "one" })).await;

    assert_eq!(result, Err(StoreError::OutcomeUnknown));
    assert_eq!(store.get(KIND, "a").await.unwrap().unwrap().spec, json!({ "to": "one" }));
}

/// A gateway in front of the platform times out while the write takes effect. A retry of the
/// request would conflict with its own effect, and the writer would receive a false conflict.
#[tokio::test]
async fn gateway_timeout_is_unresolved_and_not_sent_again() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    standin.set_faults(PlatformFaults { gateway_timeouts: 1, ..PlatformFaults::default() });

    let result = store.put(KIND, "a", None, json!({ "to": "one" })).await;

    assert_eq!(result, Err(StoreError::OutcomeUnknown));
    assert_eq!(standin.calls().writes, 1);
}

/// The platform accepts connections without responding, then refuses connections. Calls must return
/// an error in both cases, and the outcome of a write without a response is unknown.
#[tokio::test]
async fn calls_end_with_an_error_during_an_outage() {
    let standin = standin().await;
    let outage = |outage| PlatformFaults { outage, ..PlatformFaults::default() };

    standin.set_faults(outage(PlatformOutage::Hanging));
    let store_with_short_timeout = store(&standin, Duration::from_millis(100));
    let hung = async {
        (
            store_with_short_timeout.get(KIND, "a").await,
            store_with_short_timeout.put(KIND, "a", None, json!({})).await,
        )
    };
    let (hung_read, hung_write) =
        tokio::time::timeout(HANG_TIMEOUT, hung).await.expect("both calls end by themselves");
    standin.set_faults(outage(PlatformOutage::Refused));
    // The listener closes its socket shortly after the change of faults; until then it accepts a
    // connection and drops it.
    let mut refused_write = Err(StoreError::OutcomeUnknown);
    for _ in 0..TRIES_MAX {
        if refused_write != Err(StoreError::OutcomeUnknown) {
            break;
        }
        refused_write = store_with_long_timeout(&standin).put(KIND, "a", None, json!({})).await;
    }
    standin.set_faults(PlatformFaults::default());
    let mut after_outage = Err(StoreError::Unavailable);
    for _ in 0..TRIES_MAX {
        if after_outage != Err(StoreError::Unavailable) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
        after_outage = store_with_long_timeout(&standin).get(KIND, "a").await;
    }

    assert_eq!(hung_read, Err(StoreError::Unavailable));
    assert_eq!(hung_write, Err(StoreError::OutcomeUnknown));
    assert_eq!(refused_write, Err(StoreError::Unavailable));
    assert_eq!(after_outage, Ok(None));
}

/// A device between proxy and platform drops the state of an open connection: it never responds
/// again, while new connections work. A store that kept using it would be disconnected until a
/// restart.
#[tokio::test]
async fn unresponsive_connection_is_replaced() {
    let standin = standin().await;
    let link = LinkStandin::start(&LinkSettings::loopback(standin.address())).await.unwrap();
    let options = PlatformOptions {
        call_timeout: Duration::from_millis(500),
        ..PlatformOptions::at(&format!("http://{}", link.address()))
    };
    let store = KubeStore::connect(options).unwrap();
    store.put(KIND, "a", None, json!({ "to": "one" })).await.unwrap();

    link.cut();
    let timed_out = store.get(KIND, "a").await;
    link.heal();
    let again = store.get(KIND, "a").await;

    assert_eq!(timed_out, Err(StoreError::Unavailable));
    assert_eq!(again.unwrap().unwrap().spec, json!({ "to": "one" }));
}

#[tokio::test]
async fn instances_are_listed_with_lag() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    let entry = |name: &str, leaving| StandinInstance {
        name: name.parse().unwrap(),
        address: "127.0.0.1".parse().unwrap(),
        leaving,
    };

    standin.set_instances(vec![entry("b", true), entry("a", false)], Duration::ZERO);
    standin.set_instances(Vec::new(), Duration::from_secs(3600));
    let instances = store.instances().await.unwrap();

    let shown: Vec<_> =
        instances.iter().map(|entry| (entry.name.to_string(), entry.readiness)).collect();
    assert_eq!(
        shown,
        vec![
            ("a".to_owned(), InstanceReadiness::Ready),
            ("b".to_owned(), InstanceReadiness::Leaving)
        ]
    );
}
