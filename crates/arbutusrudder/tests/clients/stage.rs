//! The course of a test: ordinary traffic before, during and after abusive clients.

use super::memory::MemoryWatch;
use super::traffic::{OrdinarySession, OrdinaryTraffic, TrafficPhase, TrafficReports};
use std::future::Future;
use std::time::Duration;
use tokio::sync::{Mutex, MutexGuard};

/// Time for which the ordinary callers are alone before and after the abusive clients.
const CALM: Duration = Duration::from_millis(1500);

/// Tests of one program run in turn: their clients would disturb each other's ordinary callers.
static TURN: Mutex<()> = Mutex::const_new(());

/// Waits for this test's turn.
pub(crate) async fn take_turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

/// Runs abusive clients beside ordinary traffic, and checks that the process stayed within the memory
/// of its machine and that the ordinary callers were served throughout.
pub(crate) async fn check_service<S: OrdinarySession + 'static>(
    name: &str,
    target: &S::Target,
    watch: &MemoryWatch,
    clients: impl Future<Output = ()>,
) {
    let traffic = OrdinaryTraffic::start::<S>(target);
    tokio::time::sleep(CALM).await;
    let calm_peak = watch.peak();
    traffic.set_phase(TrafficPhase::During);
    clients.await;
    traffic.set_phase(TrafficPhase::After);
    tokio::time::sleep(CALM).await;
    let TrafficReports { before, during, after } = traffic.stop().await;
    println!("{name}: calm {calm_peak}; with them {}", watch.peak());
    println!("{name}: before {before}; during {during}; after {after}");
    watch.assert_within_machine();
    before.assert_served("before the abusive clients");
    during.assert_served("beside the abusive clients");
    after.assert_served("after the abusive clients");
}
