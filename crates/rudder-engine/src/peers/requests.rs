//! This instance's requests to its peers, and who responders them.

use crate::lead::LeaderEpoch;
use rudder_core::{InstanceName, ServiceName};
use std::collections::VecDeque;
use std::time::Duration;

/// Questions whose answers are still taken; some seconds' worth.
const REQUESTS_MAX: usize = 32;

/// How many instances confirmed one version of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RecordTally {
    service: ServiceName,
    epoch: LeaderEpoch,
    count: usize,
}

/// A request and what came of it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SentRequest {
    request_id: u64,
    sent_at: Duration,
    /// Who responders, sorted.
    responders: Vec<InstanceName>,
    /// Sorted by service and version.
    tallies: Vec<RecordTally>,
}

/// Questions of this instance's own, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    requests: VecDeque<SentRequest>,
}

impl RequestLog {
    /// Takes in that a request is sent at `now`; one that is sent again counts from the first time.
    pub(crate) fn note_question(&mut self, request_id: u64, now: Duration) {
        if self.find(request_id).is_some() {
            return;
        }
        if self.requests.len() == REQUESTS_MAX {
            self.requests.pop_front();
        }
        let (responders, tallies) = (Vec::new(), Vec::new());
        self.requests.push_back(SentRequest { request_id, sent_at: now, responders, tallies });
    }

    /// When a request was sent; several peers may answer the same one.
    pub(crate) fn asked_at(&self, request_id: u64) -> Option<Duration> {
        let request = self.requests.iter().find(|known| known.request_id == request_id);
        request.map(|known| known.sent_at)
    }

    /// Takes in that an instance responders a request; returns whether it is its first answer.
    pub(crate) fn note_answer(&mut self, request_id: u64, instance: &InstanceName) -> bool {
        let Some(request) = self.find(request_id) else { return false };
        match request.responders.binary_search(instance) {
            Ok(_) => false,
            Err(index) => {
                request.responders.insert(index, instance.clone());
                true
            }
        }
    }

    /// How many instances have responders a request.
    pub(crate) fn answer_count(&self, request_id: u64) -> usize {
        let request = self.requests.iter().find(|known| known.request_id == request_id);
        request.map_or(0, |known| known.responders.len())
    }

    /// Counts an instance's first answer to a request; returns how many instances have confirmed the
    /// same version, this one included.
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
