//! Part of the fleet that each instance is connected to, as hubs report it.

use super::SimFleet;
use rudder_decisions::FleetReach;
use std::time::Duration;

/// Time for which an instance still counts as connected after it was cut off: the validity of its
/// last heartbeat, and the time that the reports of two hubs take.
const DISCONNECT_DELAY: Duration = Duration::from_millis(1700);

/// Time after its start at which an instance receives the first report of a hub. Until then it takes
/// all listed instances for connected.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(1000);

impl SimFleet {
    /// Records which instances are connected to each other, directly or through others.
    pub(super) fn update_reach(&mut self) {
        let mut visited = vec![false; self.instances.len()];
        for index in 0..self.instances.len() {
            if visited[index] || !self.is_running(index) {
                continue;
            }
            let connected = self.connected_to(index);
            for member in &connected {
                visited[*member] = true;
                for other in &connected {
                    self.instances[*member].connected_at[*other] = Some(self.now);
                }
            }
        }
    }

    /// Returns the running instances that are connected to one, including itself.
    fn connected_to(&self, index: usize) -> Vec<usize> {
        let mut connected = vec![index];
        let mut next = 0;
        while let Some(from) = connected.get(next).copied() {
            next += 1;
            let is_new = |to: &usize| {
                !connected.contains(to) && self.is_running(*to) && self.is_linked(from, *to)
            };
            let found: Vec<usize> = (0..self.instances.len()).filter(is_new).collect();
            connected.extend(found);
        }
        connected
    }

    /// Returns the part of the fleet that an instance knows to be connected to it.
    pub(super) fn fleet_reach(&self, index: usize) -> FleetReach {
        let instance = &self.instances[index];
        let listed = self.instances.len();
        if self.now < instance.started_at + FIRST_REPORT_DELAY {
            return FleetReach { reached: listed, listed };
        }
        let is_connected =
            |at: &&Option<Duration>| at.is_some_and(|at| self.now < at + DISCONNECT_DELAY);
        let reached = instance.connected_at.iter().filter(is_connected).count();
        FleetReach { reached, listed }
    }
}
