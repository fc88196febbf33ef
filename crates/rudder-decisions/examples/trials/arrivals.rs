//! Random request arrivals.

use super::model::{MemberSpec, Request};
use rand::RngExt;
use rand::rngs::StdRng;
use rudder_decisions::WorkClass;
use std::time::Duration;

/// Mean service time at a member of speed 1.
pub(crate) const SERVICE_MEAN: Duration = Duration::from_millis(10);

/// Parameters of a random arrival process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ArrivalPattern {
    /// Mean request rate of all instances together, per second.
    pub(crate) rate: f64,
    /// Duration of the arrivals.
    pub(crate) duration: Duration,
    /// Number of instances that receive requests.
    pub(crate) instances: usize,
    /// Number of callers.
    pub(crate) callers: u64,
    /// Share of requests that are writes.
    pub(crate) write_share: f64,
    /// Share of the reads that must see a write made immediately before.
    pub(crate) session_share: f64,
    /// Factor of the rate in the first fifth of each second; the rate is lower in the rest, so that
    /// the mean stays the same.
    pub(crate) burst: f64,
    /// Time after which a caller no longer waits for its response.
    pub(crate) timeout: Duration,
}

impl ArrivalPattern {
    /// Creates a pattern of reads at a constant rate, from a hundred callers with a timeout of one
    /// minute.
    pub(crate) fn steady(rate: f64, duration: Duration, instances: usize) -> Self {
        Self {
            rate,
            duration,
            instances,
            callers: 100,
            write_share: 0.0,
            session_share: 0.0,
            burst: 1.0,
            timeout: Duration::from_secs(60),
        }
    }

    /// Draws the requests, in order of arrival.
    pub(crate) fn draw(&self, rng: &mut StdRng) -> Vec<Request> {
        let mut requests = Vec::new();
        let mut now_s = 0.0;
        while now_s < self.duration.as_secs_f64() {
            now_s += exponential(1.0 / self.rate_at(now_s), rng);
            requests.push(self.request(Duration::from_secs_f64(now_s), rng));
        }
        requests
    }

    fn rate_at(&self, now_s: f64) -> f64 {
        let in_burst = now_s.fract() < 0.2;
        let rest = ((1.0 - 0.2 * self.burst) / 0.8).max(0.01);
        self.rate * if in_burst { self.burst } else { rest }
    }

    fn request(&self, at: Duration, rng: &mut StdRng) -> Request {
        let writes = rng.random_range(0.0..1.0) < self.write_share;
        let session = !writes && rng.random_range(0.0..1.0) < self.session_share;
        Request {
            at,
            instance: rng.random_range(0..self.instances),
            caller: rng.random_range(0..self.callers),
            kind: if writes { "orders" } else { "catalogue" },
            shed: false,
            class: if writes { WorkClass::Write } else { WorkClass::Read },
            service: Duration::from_secs_f64(exponential(SERVICE_MEAN.as_secs_f64(), rng)),
            fingerprint: u64::from(writes),
            timeout: self.timeout,
            queue_wait: None,
            floor: session.then_some(at),
        }
    }
}

/// Draws an exponentially distributed number with this mean.
pub(crate) fn exponential(mean: f64, rng: &mut StdRng) -> f64 {
    -mean * (1.0 - rng.random_range(0.0..1.0_f64)).ln()
}

/// Returns the statements per second that the members serve together.
pub(crate) fn capacity(members: &[MemberSpec]) -> f64 {
    members.iter().map(|member| f64::from(member.slots) * member.speed).sum::<f64>()
        / SERVICE_MEAN.as_secs_f64()
}

/// Creates a member with the same round-trip time from all instances.
pub(crate) fn member(speed: f64, slots: u32, link: Duration, instances: usize) -> MemberSpec {
    MemberSpec {
        speed,
        slots,
        primary: false,
        links: vec![link; instances],
        lag: Duration::ZERO,
        fault: None,
    }
}
