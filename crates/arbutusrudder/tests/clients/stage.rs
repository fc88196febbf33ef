//! The course of a test: ordinary traffic before, during and after a crowd, with the process watched.

use super::memory::MemoryWatch;
use super::traffic::{OrdinarySession, OrdinaryTraffic, TrafficPhase, TrafficReports};
use std::future::Future;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

/// Time for which the ordinary callers are alone before and after the crowd.
const CALM: Duration = Duration::from_millis(1500);

/// Tests of one program run in turn: crowds would disturb each other's ordinary callers.
static TURN: Mutex<()> = Mutex::const_new(());

/// Waits for this test's turn.
pub(crate) async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// Plays a crowd beside ordinary traffic and checks that the process stayed within its machine and
/// that the ordinary callers were served throughout.
pub(crate) async fn play<S: OrdinarySession + 'static>(
    name: &str,
    target: &S::Target,
    watch: &MemoryWatch,
    crowd: impl Future<Output = ()>,
) {
    let traffic = OrdinaryTraffic::start::<S>(target);
    tokio::time::sleep(CALM).await;
    let calm_peak = watch.peak();
    traffic.set_phase(TrafficPhase::During);
    crowd.await;
    traffic.set_phase(TrafficPhase::After);
    tokio::time::sleep(CALM).await;
    let TrafficReports { before, during, after } = traffic.stop().await;
    println!("{name}: calm {calm_peak}; with the crowd {}", watch.peak());
    println!("{name}: before {before}; during {during}; after {after}");
    watch.assert_within_machine();
    before.assert_served("before the crowd");
    during.assert_served("beside the crowd");
    after.assert_served("after the crowd");
}
