//! Random faults in a group with three keepers and a writer.

use super::fake_group::PromotionFault;
use super::fake_platform::PlatformFault;
use super::fixture::{Fixture, RunningKeeper};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rudder_core::check_history;
use std::time::Duration;
use tokio::time::sleep;

const SEEDS_DEFAULT: u64 = 25;
const SEEDS_VARIABLE: &str = "RUDDER_KEEPER_SEEDS";
const STEPS: usize = 60;
const MEMBERS: usize = 3;
const KEEPERS: usize = 3;

fn inject_fault(fixture: &Fixture, keepers: &[RunningKeeper], rng: &mut StdRng) {
    let member = rng.random_range(0..MEMBERS);
    let keeper = rng.random_range(0..KEEPERS);
    match rng.random_range(0..12) {
        0 => fixture.group.model().kill(member),
        1..=3 => fixture.group.model().restart(member),
        4 => *fixture.group.unreachable_member.lock().unwrap() = Some(member),
        5 | 6 => *fixture.group.unreachable_member.lock().unwrap() = None,
        7 => {
            keepers[keeper].frozen.send_replace(true);
        }
        8 | 9 => {
            keepers[keeper].frozen.send_replace(false);
        }
        10 => {
            let faults = [
                PlatformFault::None,
                PlatformFault::None,
                PlatformFault::Hangs,
                PlatformFault::LosesResponses,
            ];
            *fixture.platform.fault.lock().unwrap() = faults[rng.random_range(0..faults.len())];
        }
        _ => {
            let faults = [PromotionFault::DiesAfterResponse, PromotionFault::ResponseLost];
            *fixture.group.fault.lock().unwrap() = faults[rng.random_range(0..faults.len())];
        }
    }
}

fn clear_faults(fixture: &Fixture, keepers: &[RunningKeeper]) {
    (0..MEMBERS).for_each(|member| fixture.group.model().restart(member));
    for keeper in keepers {
        keeper.frozen.send_replace(false);
    }
    *fixture.group.unreachable_member.lock().unwrap() = None;
    *fixture.group.fault.lock().unwrap() = PromotionFault::None;
    *fixture.platform.fault.lock().unwrap() = PlatformFault::None;
}

// Members fail, restart, become unreachable or fail during a promotion; keepers freeze and resume;
// the platform hangs or loses responses. Faults combine at random. Every acknowledged write must be
// stored exactly once, and a primary must acknowledge writes after the faults end.
#[tokio::test(start_paused = true)]
async fn random_faults_lose_no_write() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    for seed in 0..seeds.unwrap_or(SEEDS_DEFAULT) {
        let mut rng = StdRng::seed_from_u64(seed);
        let fixture = Fixture::new(MEMBERS, KEEPERS);
        let keepers = [0, 1, 2].map(|index| fixture.start_keeper(index, &[]));

        for _ in 0..STEPS {
            inject_fault(&fixture, &keepers, &mut rng);
            sleep(Duration::from_millis(rng.random_range(10..900))).await;
        }
        clear_faults(&fixture, &keepers);
        sleep(Duration::from_secs(5)).await;
        fixture.next_acknowledgement().await;

        let faults = check_history(&fixture.history(&keepers[0]).await);
        assert_eq!(faults, vec![], "seed {seed}");
    }
}
