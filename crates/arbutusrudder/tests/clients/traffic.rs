//! Ordinary callers, which retry as real ones do, and a record of how their requests fared.

use std::fmt;
use std::future::Future;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Number of ordinary callers.
const CALLERS: usize = 10;

/// Timeout of one request, with its retries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between two requests of a caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);

/// Pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Number of requests after which a caller opens a new session.
const SESSION_REQUESTS: u64 = 10;

/// Requests in a thousand that must be served before their timeout.
const SERVED_PERMILLE_MIN: usize = 950;

/// What became of one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptResult {
    Served,
    /// The reply promises that nothing was kept.
    NotRun,
    /// No reply was received.
    Lost,
}

/// Session of an ordinary caller.
pub(crate) trait OrdinarySession: Sized + Send {
    type Target: Clone + Send + Sync + 'static;

    fn open(target: &Self::Target) -> impl Future<Output = Option<Self>> + Send;

    /// Runs a write or a read; `number` is different for each request.
    fn request(
        &mut self,
        number: u64,
        is_write: bool,
    ) -> impl Future<Output = AttemptResult> + Send;
}

/// How requests fared.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficReport {
    asked: usize,
    /// Times to the reply of the requests that were served, with their retries, sorted.
    served: Vec<Duration>,
}

impl TrafficReport {
    /// Adds a request and the time to its reply, if it was served.
    fn add(&mut self, time: Option<Duration>) {
        self.asked += 1;
        self.served.extend(time);
    }

    fn share_permille(&self) -> usize {
        self.served.len() * 1000 / self.asked.max(1)
    }

    fn percentile(&self, percent: usize) -> u128 {
        let index = self.served.len() * percent / 100;
        let index = index.min(self.served.len().saturating_sub(1));
        self.served.get(index).map_or(0, Duration::as_millis)
    }

    /// Fails unless the ordinary callers were served.
    pub(crate) fn assert_served(&self, when: &str) {
        assert!(self.asked > 0, "nothing was asked {when}");
        let served = self.share_permille() >= SERVED_PERMILLE_MIN;
        assert!(served, "ordinary callers were not served {when}: {self}");
    }
}

impl fmt::Display for TrafficReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (asked, served) = (self.asked, self.served.len());
        let (p50, p99) = (self.percentile(50), self.percentile(99));
        write!(f, "{served} of {asked} served, p50 {p50} ms, p99 {p99} ms")
    }
}

/// Part of a test, by which requests are recorded when they begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrafficPhase {
    Before,
    During,
    After,
}

/// Reports of the requests that began in each phase.
#[derive(Default)]
pub(crate) struct TrafficReports {
    pub(crate) before: TrafficReport,
    pub(crate) during: TrafficReport,
    pub(crate) after: TrafficReport,
}

impl TrafficReports {
    fn of(&mut self, phase: TrafficPhase) -> &mut TrafficReport {
        match phase {
            TrafficPhase::Before => &mut self.before,
            TrafficPhase::During => &mut self.during,
            TrafficPhase::After => &mut self.after,
        }
    }
}

/// Running ordinary callers.
pub(crate) struct OrdinaryTraffic {
    reports: Arc<Mutex<TrafficReports>>,
    phase: watch::Sender<TrafficPhase>,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl OrdinaryTraffic {
    pub(crate) fn start<S: OrdinarySession + 'static>(target: &S::Target) -> Self {
        let reports = Arc::new(Mutex::new(TrafficReports::default()));
        let phase = watch::Sender::new(TrafficPhase::Before);
        let stop = Arc::new(AtomicBool::new(false));
        let tasks = (0..CALLERS as u64).map(|caller| {
            let (target, reports) = (target.clone(), Arc::clone(&reports));
            let (stop, phase) = (Arc::clone(&stop), phase.subscribe());
            tokio::spawn(async move {
                let mut session: Option<S> = None;
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    if count % SESSION_REQUESTS == 0 {
                        session = None;
                    }
                    let began_in = *phase.borrow();
                    let number = caller + count * CALLERS as u64;
                    let time = serve(&mut session, &target, number).await;
                    lock(&reports).of(began_in).add(time);
                    tokio::time::sleep(REQUEST_PAUSE).await;
                }
            })
        });
        let tasks = tasks.collect();
        Self { reports, phase, stop, tasks }
    }

    pub(crate) fn set_phase(&self, phase: TrafficPhase) {
        self.phase.send_replace(phase);
    }

    /// Lets all requests end and returns how they fared.
    pub(crate) async fn stop(self) -> TrafficReports {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.expect("a caller does not panic");
        }
        let mut reports = std::mem::take(&mut *lock(&self.reports));
        for phase in [TrafficPhase::Before, TrafficPhase::During, TrafficPhase::After] {
            reports.of(phase).served.sort();
        }
        reports
    }
}

fn lock(reports: &Mutex<TrafficReports>) -> MutexGuard<'_, TrafficReports> {
    reports.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs one request with its retries; returns the time to its reply if it was served.
async fn serve<S: OrdinarySession>(
    session: &mut Option<S>,
    target: &S::Target,
    number: u64,
) -> Option<Duration> {
    let started_at = Instant::now();
    let is_write = number.is_multiple_of(4);
    let attempts = async {
        loop {
            if session.is_none() {
                *session = S::open(target).await;
            }
            if let Some(open) = session.as_mut() {
                match open.request(number, is_write).await {
                    AttemptResult::Served => return true,
                    AttemptResult::NotRun => {}
                    AttemptResult::Lost => *session = None,
                }
                if session.is_none() && is_write {
                    return false;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    };
    let served = tokio::time::timeout(REQUEST_TIMEOUT, attempts).await;
    if served.is_err() {
        *session = None;
    }
    (served == Ok(true)).then(|| started_at.elapsed())
}
