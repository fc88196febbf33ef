//! Requests of this instance to its peers, and the instances that responded.

use super::digest::RecordsDigest;
use crate::lead::LeaderEpoch;
use rudder_core::{InstanceName, ServiceName};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of requests whose responses are still accepted; covers several seconds.
const REQUESTS_MAX: usize = 32;

/// What an instance confirms by its response.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ConfirmedVersion {
    /// Versions of all records.
    All(RecordsDigest),
    /// Version of one record.
    Record(ServiceName, LeaderEpoch),
}

/// Number of instances that confirmed the same.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ConfirmationTally {
    version: ConfirmedVersion,
    count: usize,
}

/// Request and the responses to it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SentRequest {
    request_id: u64,
    sent_at: Duration,
    /// Instances that responded, sorted.
    responders: Vec<InstanceName>,
    tallies: Vec<ConfirmationTally>,
    /// Versions of all records whose confirmation by a majority was applied.
    applied: Option<RecordsDigest>,
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
        let request = SentRequest { request_id, sent_at: now, responders, tallies, applied: None };
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

    /// Counts an instance's first response, which confirms the versions of all records in `digest`.
    pub(crate) fn count_all(&mut self, request_id: u64, digest: RecordsDigest) {
        self.count(request_id, ConfirmedVersion::All(digest));
    }

    /// Counts an instance's first response, which confirms a version of one record, and other
    /// versions of other records than those known here.
    pub(crate) fn count_record(
        &mut self,
        request_id: u64,
        service: &ServiceName,
        epoch: LeaderEpoch,
    ) {
        self.count(request_id, ConfirmedVersion::Record(service.clone(), epoch));
    }

    /// Returns how many instances, including this one, have confirmed a version of a record that is
    /// one of those in `digest`.
    pub(crate) fn confirmations(
        &self,
        request_id: u64,
        digest: RecordsDigest,
        service: &ServiceName,
        epoch: LeaderEpoch,
    ) -> usize {
        let Some(request) = self.requests.iter().find(|known| known.request_id == request_id)
        else {
            return 1;
        };
        let confirms = |version: &ConfirmedVersion| match version {
            ConfirmedVersion::All(known) => *known == digest,
            ConfirmedVersion::Record(known, known_epoch) => {
                known == service && *known_epoch == epoch
            }
        };
        let tallies = request.tallies.iter().filter(|tally| confirms(&tally.version));
        tallies.map(|tally| tally.count).sum::<usize>() + 1
    }

    /// Returns how many instances, including this one, confirmed the versions of all records in
    /// `digest`; none if some confirmed others.
    pub(crate) fn unanimous_confirmations(
        &self,
        request_id: u64,
        digest: RecordsDigest,
    ) -> Option<usize> {
        let request = self.requests.iter().find(|known| known.request_id == request_id)?;
        match &request.tallies[..] {
            [ConfirmationTally { version: ConfirmedVersion::All(known), count }]
                if *known == digest =>
            {
                Some(count + 1)
            }
            _ => None,
        }
    }

    /// Records that the confirmations of all records in `digest` were applied. Returns false if
    /// they were before.
    pub(crate) fn mark_applied(&mut self, request_id: u64, digest: RecordsDigest) -> bool {
        let Some(request) = self.find(request_id) else { return false };
        request.applied.replace(digest) != Some(digest)
    }

    fn count(&mut self, request_id: u64, version: ConfirmedVersion) {
        let Some(request) = self.find(request_id) else { return };
        match request.tallies.iter_mut().find(|tally| tally.version == version) {
            Some(tally) => tally.count += 1,
            None => request.tallies.push(ConfirmationTally { version, count: 1 }),
        }
    }

    fn find(&mut self, request_id: u64) -> Option<&mut SentRequest> {
        self.requests.iter_mut().find(|known| known.request_id == request_id)
    }
}
