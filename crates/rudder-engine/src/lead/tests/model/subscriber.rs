//! Requests that get another response whenever newer state is known.

use super::{DisabledCheck, Model};
use crate::lead::tests::message::Message;
use crate::lead::tests::ms;
use crate::peers::RequestOffset;
use rand::rngs::StdRng;
use std::time::Duration;

/// Process that has requested the record from an instance.
#[derive(Clone, Debug)]
pub(super) struct Subscriber {
    pub(super) from: usize,
    pub(super) process: u64,
    pub(super) request_sent_at: Duration,
    pub(super) received_at: Duration,
}

impl Model {
    /// Responds again to earlier requests, with times relative to the receipt of each request.
    pub(super) fn notify_subscribers(&mut self, index: usize, rng: &mut StdRng) {
        let leases = &self.instances[index].leases;
        let Some(record) = leases.record().cloned() else { return };
        let known_at = leases.confirmed_at();
        for subscriber in self.instances[index].subscribers.clone() {
            let Subscriber { from, process, request_sent_at, received_at } = subscriber;
            let offset = RequestOffset::of(known_at, received_at);
            let confirmed_at = match self.disabled_check {
                // The age is subtracted from the time of arrival, which is at most this much later.
                DisabledCheck::AgeOfRepeatedResponse => known_at + ms(3000),
                _ => offset.map_or(Duration::ZERO, |offset| offset.to_moment(request_sent_at)),
            };
            let (record, from_store) = (record.clone(), false);
            let response = Message::Record { to: from, process, record, confirmed_at, from_store };
            self.send(index, response, rng);
        }
    }
}
