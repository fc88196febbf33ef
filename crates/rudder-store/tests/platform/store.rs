//! The store over HTTP: versions, conflicts, lost answers, outages, instances.

use crate::common::{standin, store, store_with_long_timeout};
use rudder_standins::{LinkSettings, LinkStandin, PlatformFaults, PlatformOutage, StandinInstance};
use rudder_store::{
    InstanceReadiness, KubeStore, ObjectKind, ObjectVersion, PlatformOptions, PlatformStore,
    StoreError,
};
use serde_json::json;
use std::time::Duration;

/// A call that takes longer than this would never end.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// A state that has not come after so many tries would never come.
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

/// An operator submits, the platform applies the change, and the connection breaks before the
/// answer. Taken for "nothing changed", the operator would submit again and undo what came between.
#[tokio::test]
async fn lost_response_is_unresolved_and_the_change_is_stored() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    standin.set_faults(PlatformFaults { lost_answers: 1, ..PlatformFaults::default() });

    let result = store.put(KIND, "a", None, json!({ "to": "one" })).await;

    assert_eq!(result, Err(StoreError::Unresolved));
    assert_eq!(store.get(KIND, "a").await.unwrap().unwrap().spec, json!({ "to": "one" }));
}

/// A gateway before the platform gives up while the change takes effect behind it. Were the request
/// sent again, it would meet its own change, and the writer would hear of a conflict that never was.
#[tokio::test]
async fn gateway_timeout_is_unresolved_and_not_sent_again() {
    let standin = standin().await;
    let store = store_with_long_timeout(&standin);
    standin.set_faults(PlatformFaults { gateway_timeouts: 1, ..PlatformFaults::default() });

    let result = store.put(KIND, "a", None, json!({ "to": "one" })).await;

    assert_eq!(result, Err(StoreError::Unresolved));
    assert_eq!(standin.calls().writes, 1);
}

/// The platform's service goes down: nobody listens any more. Then it hangs: connections open, no
/// answer comes. A caller must come back with a verdict in both, and a change that hung is unknown.
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
    // The listener closes its socket a moment after the switch; until then a connection is accepted
    // and cut.
    let mut refused_write = Err(StoreError::Unresolved);
    for _ in 0..TRIES_MAX {
        if refused_write != Err(StoreError::Unresolved) {
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
    assert_eq!(hung_write, Err(StoreError::Unresolved));
    assert_eq!(refused_write, Err(StoreError::Unavailable));
    assert_eq!(after_outage, Ok(None));
}

/// Something between proxy and platform loses track of the open connection: it stays silent for
/// good, while new ones work. A store that went on using it would be cut off until a restart.
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
    let silent = store.get(KIND, "a").await;
    link.heal();
    let again = store.get(KIND, "a").await;

    assert_eq!(silent, Err(StoreError::Unavailable));
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
