//! Queues requests for admission: the admission gate decides, this module notifies the waiting
//! requests.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rudder_decisions::{
    AdmissionDecision, AdmissionGate, AdmissionRequest, LaneKey, LaneLimits, LaneUsage,
    RefusalReason, TicketId, TicketNotice, TicketOutcome,
};
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::sync::oneshot;

/// The admission gate of one group, with the requests that wait for a slot.
pub(crate) struct AdmissionQueue {
    inner: Mutex<QueueState>,
}

struct QueueState {
    gate: AdmissionGate,
    rng: StdRng,
    /// Sorted by ticket; ticket numbers only increase.
    waiters: Vec<(TicketId, oneshot::Sender<TicketOutcome>)>,
}

/// A held slot, or a place in the queue. Dropping it releases either.
pub(crate) struct AdmissionSlot {
    queue: Arc<AdmissionQueue>,
    ticket: TicketId,
}

impl Drop for AdmissionSlot {
    fn drop(&mut self) {
        self.queue.release(self.ticket);
    }
}

impl AdmissionQueue {
    /// Creates a queue whose random generator, which spreads rejections, is seeded with `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        let inner = QueueState {
            gate: AdmissionGate::new(),
            rng: StdRng::seed_from_u64(seed),
            waiters: Vec::new(),
        };
        Self { inner: Mutex::new(inner) }
    }

    /// Sets the limits of one member's lane.
    pub(crate) fn set_lane(&self, key: &LaneKey, limits: LaneLimits) {
        self.lock().gate.set_lane(key, limits);
    }

    /// Returns the number of running and waiting requests of a lane.
    pub(crate) fn usage(&self, key: &LaneKey) -> LaneUsage {
        self.lock().gate.usage(key)
    }

    /// Waits for a slot. A rejection is final and is returned without further waiting.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: &AdmissionRequest,
    ) -> Result<AdmissionSlot, RefusalReason> {
        let (ticket, outcome) = match self.offer(request) {
            (AdmissionDecision::Run(ticket), _) => return Ok(self.slot(ticket)),
            (AdmissionDecision::Refuse(reason), _) => return Err(reason),
            (AdmissionDecision::Wait(ticket), outcome) => (ticket, outcome),
        };
        // The slot is held during the wait as well: if the caller is dropped, its place is
        // released.
        let slot = self.slot(ticket);
        let wait_until = request.deadline.min(Instant::now() + request.queue_wait);
        let mut outcome = outcome;
        loop {
            let sleep = tokio::time::sleep_until(wait_until.into());
            tokio::select! {
                outcome = &mut outcome => return match outcome {
                    Ok(TicketOutcome::Refuse(reason)) => Err(reason),
                    Ok(TicketOutcome::Run) | Err(_) => Ok(slot),
                },
                () = sleep => self.expire_tickets(),
            }
            // The timer may fire slightly before the gate's deadline.
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    }

    fn offer(
        &self,
        request: &AdmissionRequest,
    ) -> (AdmissionDecision, oneshot::Receiver<TicketOutcome>) {
        let (sender, receiver) = oneshot::channel();
        let mut inner = self.lock();
        let QueueState { gate, rng, waiters } = &mut *inner;
        let decision = gate.offer(request, Instant::now(), rng);
        if let AdmissionDecision::Wait(ticket) = decision {
            waiters.push((ticket, sender));
        }
        (decision, receiver)
    }

    fn release(&self, ticket: TicketId) {
        let mut inner = self.lock();
        let QueueState { gate, rng, waiters } = &mut *inner;
        if let Ok(index) = waiters.binary_search_by_key(&ticket, |(known, _)| *known) {
            waiters.remove(index);
        }
        let notices = gate.release(ticket, Instant::now(), rng);
        notify_waiters(waiters, &notices);
    }

    fn expire_tickets(&self) {
        let mut inner = self.lock();
        let QueueState { gate, rng, waiters } = &mut *inner;
        let notices = gate.expire(Instant::now(), rng);
        notify_waiters(waiters, &notices);
    }

    fn slot(self: &Arc<Self>, ticket: TicketId) -> AdmissionSlot {
        AdmissionSlot { queue: Arc::clone(self), ticket }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, QueueState> {
        self.inner.lock().expect("no holder of this lock panics")
    }
}

fn notify_waiters(
    waiters: &mut Vec<(TicketId, oneshot::Sender<TicketOutcome>)>,
    notices: &[TicketNotice],
) {
    for notice in notices {
        let found = waiters.binary_search_by_key(&notice.ticket, |(known, _)| *known);
        if let Ok(index) = found {
            let (_, sender) = waiters.remove(index);
            // A waiter that was dropped has released its ticket with its slot.
            let _ = sender.send(notice.outcome);
        }
    }
}
