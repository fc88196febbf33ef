//! Who is to be told whenever there is newer knowledge of the records.
//!
//! Load pattern: hundreds of instances need proof several times a second that the records of all
//! primaries are unchanged. If each asks for it, questions and answers double the datagrams, and
//! at each step from the store down an instance waits for its next question; a lease then ends
//! after a single lost datagram.

use super::digest::RecordsDigest;
use rudder_core::InstanceName;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a question is answered again. An instance asks anew several times in it.
const SUBSCRIPTION_TIME: Duration = Duration::from_millis(2500);

/// The most instances that are told by one.
const SUBSCRIBERS_MAX: usize = 1024;

/// An instance that is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RecordsSubscriber {
    pub(crate) address: SocketAddr,
    pub(crate) instance: InstanceName,
    /// The number of its question.
    pub(crate) question: u64,
    /// When the question came.
    pub(crate) received_at: Duration,
    /// The versions that it knew then.
    pub(crate) digest: RecordsDigest,
}

/// Those who are told, sorted by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct SubscriberList {
    subscribers: Vec<RecordsSubscriber>,
}

impl SubscriberList {
    /// Takes in a question; it replaces the one before of the same instance.
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
                "an instance is not told of the records, as too many are"
            ),
        }
    }

    /// Those who are still to be told at `now`.
    pub(crate) fn live(&mut self, now: Duration) -> Vec<RecordsSubscriber> {
        self.subscribers.retain(|known| now < known.received_at + SUBSCRIPTION_TIME);
        self.subscribers.clone()
    }
}
