//! Requests of this instance to its peers, and the instances that responded.

use crate::lead::LeaderEpoch;
use rudder_core::{InstanceName, ServiceName};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of requests whose responses are still accepted; covers several seconds.
const REQUESTS_MAX: usize = 32;

/// Number of instances that confirmed one version of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RecordTally {
    service: ServiceName,
    epoch: LeaderEpoch,
    count: usize,
}

/// Request and the responses to it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SentRequest {
    request_id: u64,
    sent_at: Duration,
    /// Instances that responded, sorted.
    responders: Vec<InstanceName>,
    /// Number of responses that count for the authority of the limits.
    votes: usize,
    /// Sorted by service and version.
    tallies: Vec<RecordTally>,
}

/// Requests of this instance, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    requests: VecDeque<SentRequest>,
}

impl RequestLog {
    /// Records that a request is sent at `now`. A request that is sent again counts from the first
    /// time.
    pub(crate) fn record_request(&mut self, request_id: u64, now: Duration) {
        if self.find(request_id).is_some() {
            return;
        }
        if self.requests.len() == REQUESTS_MAX {
            self.requests.pop_front();
        }
        let (responders, tallies) = (Vec::new(), Vec::new());
        let request = SentRequest { request_id, sent_at: now, responders, votes: 0, tallies };
        self.requests.push_back(request);
    }

    /// Returns when a request was sent. Several peers may respond to the same one.
    pub(crate) fn sent_at(&self, request_id: u64) -> Option<Duration> {
        let request = self.requests.iter().find(|known| known.request_id == request_id);
        request.map(|known| known.sent_at)
    }

    /// Records that an instance responded to a request. Returns whether it is its first response.
    pub(crate) fn record_response(&mut self, request_id: u64, instance: &InstanceName) -> bool {
        let Some(request) = self.find(request_id) else { return false };
        match request.responders.binary_search(instance) {
            Ok(_) => false,
            Err(index) => {
                request.responders.insert(index, instance.clone());
                true
            }
        }
    }

    /// Returns the number of instances that responded to a request.
    pub(crate) fn response_count(&self, request_id: u64) -> usize {
        let request = self.requests.iter().find(|known| known.request_id == request_id);
        request.map_or(0, |known| known.responders.len())
    }

    /// Counts an instance's first response for the authority of the limits. Returns how many have been
    /// counted, including this instance.
    pub(crate) fn count_vote(&mut self, request_id: u64) -> usize {
        let Some(request) = self.find(request_id) else { return 1 };
        request.votes += 1;
        request.votes + 1
    }

    /// Counts an instance's first response to a request. Returns how many instances have confirmed
    /// the same version, including this one.
    pub(crate) fn count_confirmation(
        &mut self,
        request_id: u64,
        service: &ServiceName,
        epoch: LeaderEpoch,
    ) -> usize {
        let Some(request) = self.find(request_id) else { return 1 };
        let order = |known: &RecordTally| (&known.service, known.epoch).cmp(&(service, epoch));
        let index = match request.tallies.binary_search_by(order) {
            Ok(index) => index,
            Err(index) => {
                let tally = RecordTally { service: service.clone(), epoch, count: 0 };
                request.tallies.insert(index, tally);
                index
            }
        };
        let tally = &mut request.tallies[index];
        tally.count += 1;
        tally.count + 1
    }

    fn find(&mut self, request_id: u64) -> Option<&mut SentRequest> {
        self.requests.iter_mut().find(|known| known.request_id == request_id)
    }
}
