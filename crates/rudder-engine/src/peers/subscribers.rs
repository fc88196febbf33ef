//! Instances that receive a response whenever newer state of the records is known.
//!
//! Load pattern: hundreds of instances need proof several times a second that the records of all
//! primaries are unchanged. If each polled for it, requests and responses would double the
//! datagrams, and at each hop from the store an instance would wait for its next request; a lease
//! would then end after a single lost datagram.

use super::digest::RecordsDigest;
use rudder_core::InstanceName;
use std::net::SocketAddr;
use std::time::Duration;

/// Duration of a subscription. An instance renews it several times within this time.
const SUBSCRIPTION_TIME: Duration = Duration::from_millis(2500);

/// Maximum number of subscribers of one instance.
const SUBSCRIBERS_MAX: usize = 1024;

/// Instance that subscribed to the records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RecordsSubscriber {
    pub(crate) address: SocketAddr,
    pub(crate) instance: InstanceName,
    /// Number of the request that subscribed.
    pub(crate) request_id: u64,
    /// Time at which the request was received.
    pub(crate) received_at: Duration,
    /// Versions that the subscriber knew at that time.
    pub(crate) digest: RecordsDigest,
}

/// Subscribers, sorted by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct SubscriberList {
    subscribers: Vec<RecordsSubscriber>,
}

impl SubscriberList {
    /// Adds a subscription, which replaces the previous one from the same address.
    pub(crate) fn subscribe(&mut self, subscriber: RecordsSubscriber) {
        let found =
            self.subscribers.binary_search_by(|known| known.address.cmp(&subscriber.address));
        match found {
            Ok(index) => self.subscribers[index] = subscriber,
            Err(index) if self.subscribers.len() < SUBSCRIBERS_MAX => {
                self.subscribers.insert(index, subscriber);
            }
            Err(_) => log::warn!(
                instance:% = subscriber.instance, subscribers = SUBSCRIBERS_MAX;
                "a subscription was rejected: too many subscribers"
            ),
        }
    }

    /// Returns the subscriptions that are still valid at `now`, and removes the others.
    pub(crate) fn live(&mut self, now: Duration) -> Vec<RecordsSubscriber> {
        self.subscribers.retain(|known| now < known.received_at + SUBSCRIPTION_TIME);
        self.subscribers.clone()
    }
}
