//! Baseline policies: round robin without limits, and one shared queue per instance.

use super::model::{Action, LoadPolicy, MemberSpec, Request};
use rand::rngs::StdRng;
use rudder_decisions::WorkClass;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Sends reads to all members in turn, including the primary. Writes, and reads that must see a
/// recent write, go to the primary. There are no limits and no queue.
pub(crate) struct RoundRobinPolicy {
    members: usize,
    primary: usize,
    next: usize,
}

impl RoundRobinPolicy {
    /// Creates the policy of one instance; instances start at different members.
    pub(crate) fn new(members: &[MemberSpec], instance: usize) -> Self {
        let primary = members.iter().position(|member| member.primary).unwrap_or(0);
        Self { members: members.len(), primary, next: instance }
    }
}

impl LoadPolicy for RoundRobinPolicy {
    fn on_request(
        &mut self,
        id: usize,
        request: &Request,
        _time: Instant,
        _rng: &mut StdRng,
    ) -> Vec<Action> {
        if needs_primary(request) {
            return vec![Action::Send(id, self.primary)];
        }
        self.next += 1;
        vec![Action::Send(id, self.next % self.members)]
    }

    fn on_response(
        &mut self,
        _id: usize,
        _member: usize,
        _latency: Option<Duration>,
        _time: Instant,
        _rng: &mut StdRng,
    ) -> Vec<Action> {
        Vec::new()
    }

    fn next_wake(&self) -> Option<Instant> {
        None
    }

    fn on_wake(&mut self, _time: Instant, _rng: &mut StdRng) -> Vec<Action> {
        Vec::new()
    }
}

/// Returns whether only the primary may serve the request.
fn needs_primary(request: &Request) -> bool {
    request.class == WorkClass::Write || request.floor.is_some()
}

/// Queues the reads of an instance in order of arrival; the fastest replica with a free slot takes
/// the next one. Speeds are known, and other instances are not taken into account.
///
/// With thresholds (Rosberg and Makowski, "Optimal Routing to Parallel Heterogeneous Servers -
/// Small Arrival Rates", IEEE Trans. Automatic Control 35(7), 1990, equation 5), a slower slot j is
/// used only while more than `R_j = (mu_1 + ... + mu_(j-1)) / mu_j - (j - 1)` requests wait. Slots
/// of one member are servers of equal speed, so `R_j` counts the faster members' slots only.
pub(crate) struct SharedQueuePolicy {
    readers: Vec<usize>,
    primary: Option<usize>,
    speeds: Vec<f64>,
    slots: Vec<u32>,
    thresholds: Vec<f64>,
    in_flight: Vec<u32>,
    queue: VecDeque<usize>,
}

impl SharedQueuePolicy {
    /// Creates the policy of one instance, with the paper's thresholds or without.
    pub(crate) fn new(members: &[MemberSpec], instance: usize, with_thresholds: bool) -> Self {
        let count = members.len();
        let mut readers: Vec<usize> = (0..count).filter(|&index| !members[index].primary).collect();
        let offset = instance % readers.len();
        readers.rotate_left(offset);
        let thresholds = (0..count)
            .map(|index| if with_thresholds { threshold(members, &readers, index) } else { 0.0 })
            .collect();
        Self {
            readers,
            primary: members.iter().position(|member| member.primary),
            speeds: members.iter().map(|member| member.speed).collect(),
            slots: members.iter().map(|member| member.slots).collect(),
            thresholds,
            in_flight: vec![0; members.len()],
            queue: VecDeque::new(),
        }
    }

    /// Returns the fastest replica with a free slot; among equals, the one with the fewest requests
    /// of this instance in flight.
    fn fastest_free(&self) -> Option<usize> {
        let free = |index: &usize| self.in_flight[*index] < self.slots[*index];
        let candidates = self.readers.iter().copied().filter(free);
        candidates.min_by(|&left, &right| {
            let by_speed = self.speeds[right].total_cmp(&self.speeds[left]);
            by_speed.then(self.in_flight[left].cmp(&self.in_flight[right]))
        })
    }

    /// Sends queued requests while a slot is free and the queue exceeds the threshold.
    fn dispatch(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(&id) = self.queue.front() {
            let waiting = self.queue.len() as f64;
            let Some(member) = self.fastest_free() else {
                break;
            };
            if waiting <= self.thresholds[member] {
                break;
            }
            self.queue.pop_front();
            self.in_flight[member] += 1;
            actions.push(Action::Send(id, member));
        }
        actions
    }
}

/// Returns the paper's threshold for a slot of the member at `index`.
fn threshold(members: &[MemberSpec], readers: &[usize], index: usize) -> f64 {
    let own = members[index].speed;
    let faster_members =
        readers.iter().map(|&other| &members[other]).filter(|other| other.speed > own);
    faster_members.map(|other| f64::from(other.slots) * (other.speed / own - 1.0)).sum()
}

impl LoadPolicy for SharedQueuePolicy {
    fn on_request(
        &mut self,
        id: usize,
        request: &Request,
        _time: Instant,
        _rng: &mut StdRng,
    ) -> Vec<Action> {
        if needs_primary(request) {
            self.in_flight[self.primary.unwrap_or(0)] += 1;
            return vec![Action::Send(id, self.primary.unwrap_or(0))];
        }
        self.queue.push_back(id);
        self.dispatch()
    }

    fn on_response(
        &mut self,
        _id: usize,
        member: usize,
        _latency: Option<Duration>,
        _time: Instant,
        _rng: &mut StdRng,
    ) -> Vec<Action> {
        self.in_flight[member] -= 1;
        self.dispatch()
    }

    fn next_wake(&self) -> Option<Instant> {
        None
    }

    fn on_wake(&mut self, _time: Instant, _rng: &mut StdRng) -> Vec<Action> {
        Vec::new()
    }
}
