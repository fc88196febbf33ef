//! Automatic replacement of a failed primary, also with other faults at the same time, and planned
//! switches.

use super::fake_group::PromotionFault;
use super::fake_platform::{PlatformFault, entry};
use super::fixture::{Fixture, RunningKeeper, service};
use super::model::member_name;
use crate::keeper::KeeperRanking;
use rudder_core::{ControlStatement, LogTerm, SwitchOrder, WriterMark, check_history};
use rudder_store::{ObjectKind, PlatformStore};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

/// Maximum time without acknowledged writes in a failover with the default settings.
const GAP_MAX: Duration = Duration::from_secs(2);
/// Maximum time without acknowledged writes in a planned switch.
const SWITCH_GAP_MAX: Duration = Duration::from_secs(1);

async fn stabilize() {
    sleep(Duration::from_secs(3)).await;
}

fn term(keeper: &RunningKeeper) -> LogTerm {
    keeper.view.borrow().term
}

async fn kill_primary(fixture: &Fixture) -> Duration {
    fixture.group.model().kill(0);
    fixture.next_acknowledgement().await;
    fixture.longest_gap()
}

// The primary fails at different times between two probes; its address refuses connections or does
// not respond. No write is acknowledged until the next primary is confirmed.
#[tokio::test(start_paused = true)]
async fn lost_primary_is_replaced() {
    for (offset, is_silent) in [(0, false), (120, false), (245, false), (15, true), (245, true)] {
        let fixture = Fixture::new(3, 3);
        let keepers = [0, 1, 2].map(|index| fixture.start_keeper(index, &[]));
        fixture.group.is_silent.store(is_silent, Ordering::Relaxed);
        stabilize().await;
        sleep(Duration::from_millis(offset)).await;

        let gap = kill_primary(&fixture).await;

        println!("gap {gap:?}, {offset} ms after a probe, silent: {is_silent}");
        stabilize().await;
        assert!(gap < GAP_MAX, "{gap:?}");
        assert_eq!(check_history(&fixture.history(&keepers[0]).await), vec![]);
        assert!(keepers.iter().all(|keeper| term(keeper) == term(&keepers[0])));
        assert_eq!(fixture.group.successions(), 1);
    }
}

// The platform hangs when the primary fails. The promotion must use a term reserved beforehand,
// since callers must not wait for the platform.
#[tokio::test(start_paused = true)]
async fn primary_is_replaced_during_a_platform_outage() {
    let fixture = Fixture::new(3, 1);
    let keeper = fixture.start_keeper(0, &[]);
    stabilize().await;
    *fixture.platform.fault.lock().unwrap() = PlatformFault::Hangs;

    let gap = kill_primary(&fixture).await;

    println!("gap {gap:?}");
    stabilize().await;
    assert!(gap < GAP_MAX, "{gap:?}");
    assert_eq!(check_history(&fixture.history(&keeper).await), vec![]);
}

// Every update in the platform takes effect but its response is lost. The keeper must recognize its
// own mark in the grant, or it would take one term after another, or use a term of another keeper.
#[tokio::test(start_paused = true)]
async fn failover_succeeds_when_platform_responses_are_lost() {
    let fixture = Fixture::new(3, 1);
    let keeper = fixture.start_keeper(0, &[]);
    *fixture.platform.fault.lock().unwrap() = PlatformFault::LosesResponses;
    stabilize().await;

    let gap = kill_primary(&fixture).await;

    println!("gap {gap:?}");
    stabilize().await;
    assert!(gap < GAP_MAX, "{gap:?}");
    assert_eq!(check_history(&fixture.history(&keeper).await), vec![]);
}

// Two keepers both rank themselves first and promote concurrently. One stops at the other's greater
// term; no write is lost.
#[tokio::test(start_paused = true)]
async fn concurrent_promotions_leave_one_primary() {
    let fixture = Fixture::new(3, 2);
    let keepers = [0, 1].map(|index| {
        let ranking = KeeperRanking { keepers: vec![entry(index), entry(1 - index)] };
        fixture.start_keeper_with(index, ranking, &[])
    });
    stabilize().await;

    let gap = kill_primary(&fixture).await;

    println!("gap {gap:?}");
    stabilize().await;
    assert_eq!(check_history(&fixture.history(&keepers[0]).await), vec![]);
    assert_eq!(keepers[0].view.borrow().primary, keepers[1].view.borrow().primary);
}

// The promoted member fails right after its response to the promotion, or before the response is
// received. Another member is promoted at a new term.
#[tokio::test(start_paused = true)]
async fn another_member_is_promoted_when_the_candidate_fails() {
    for fault in [PromotionFault::DiesAfterResponse, PromotionFault::ResponseLost] {
        let fixture = Fixture::new(5, 1);
        let keeper = fixture.start_keeper(0, &[]);
        stabilize().await;
        *fixture.group.fault.lock().unwrap() = fault;

        let gap = kill_primary(&fixture).await;

        println!("gap {fault:?} {gap:?}");
        stabilize().await;
        assert_eq!(fixture.group.successions(), 2);
        assert_eq!(check_history(&fixture.history(&keeper).await), vec![]);
    }
}

// A keeper is frozen while its plan runs. The second-ranked keeper takes over. The first resumes
// much later and sends the rest of its plan, which must have no effect.
#[tokio::test(start_paused = true)]
async fn frozen_keeper_is_replaced_and_does_no_harm_on_resume() {
    let fixture = Fixture::new(3, 2);
    let keepers = [0, 1].map(|index| fixture.start_keeper(index, &[]));
    stabilize().await;
    fixture.group.model().kill(0);
    while fixture.group.model().members[1].accepted == LogTerm(1) {
        sleep(Duration::from_millis(1)).await;
    }

    keepers[0].frozen.send_replace(true);
    fixture.next_acknowledgement().await;
    stabilize().await;
    let term_before = term(&keepers[1]);
    sleep(Duration::from_secs(60)).await;
    keepers[0].frozen.send_replace(false);
    stabilize().await;

    let gap = fixture.longest_gap();
    println!("gap {gap:?}");
    assert_eq!(term(&keepers[0]), term_before);
    assert_eq!(check_history(&fixture.history(&keepers[0]).await), vec![]);
}

// Only one instance loses its link to the primary. A promotion would interrupt the callers of the
// other instances.
#[tokio::test(start_paused = true)]
async fn one_lost_link_causes_no_failover() {
    let fixture = Fixture::new(3, 3);
    let keepers =
        [0, 1, 2].map(|index| fixture.start_keeper(index, if index == 0 { &[0] } else { &[] }));

    sleep(Duration::from_secs(30)).await;

    assert_eq!(term(&keepers[1]), LogTerm(1));
    assert_eq!(keepers[1].view.borrow().primary, Some(member_name(0)));
}

// A link drops all packets for less than the suspicion timeout. The primary responded to the probe
// just before, and its first response afterwards clears the suspicion.
#[tokio::test(start_paused = true)]
async fn short_outage_causes_no_failover() {
    let fixture = Fixture::new(3, 1);
    let keeper = fixture.start_keeper(0, &[]);
    stabilize().await;

    for offset in [0, 60, 120, 180] {
        sleep(Duration::from_millis(offset)).await;
        *fixture.group.unreachable_member.lock().unwrap() = Some(0);
        sleep(Duration::from_millis(400)).await;
        *fixture.group.unreachable_member.lock().unwrap() = None;
        stabilize().await;
    }

    assert_eq!(term(&keeper), LogTerm(1));
}

// During one platform outage the primary fails, and later its successor, when the first-ranked
// keeper is frozen. The first keeper's promotion must not have used up the reserved terms of the
// second.
#[tokio::test(start_paused = true)]
async fn second_failover_succeeds_in_one_platform_outage() {
    let fixture = Fixture::new(5, 2);
    let keepers = [0, 1].map(|index| fixture.start_keeper(index, &[]));
    stabilize().await;
    *fixture.platform.fault.lock().unwrap() = PlatformFault::Hangs;
    kill_primary(&fixture).await;
    stabilize().await;
    keepers[0].frozen.send_replace(true);
    let primary = keepers[1].view.borrow().primary.clone().unwrap();

    let index = fixture.group.model().index_of(&primary);
    fixture.group.model().kill(index);
    fixture.next_acknowledgement().await;

    stabilize().await;
    assert_eq!(fixture.group.successions(), 2);
    assert_eq!(check_history(&fixture.history(&keepers[1]).await), vec![]);
}

// The platform hangs while the instance starts, recovers for a while, and hangs again when the
// primary fails. A term must have been reserved in between.
#[tokio::test(start_paused = true)]
async fn term_is_reserved_between_two_platform_outages() {
    let fixture = Fixture::new(3, 1);
    *fixture.platform.fault.lock().unwrap() = PlatformFault::Hangs;
    let keeper = fixture.start_keeper(0, &[]);
    stabilize().await;
    *fixture.platform.fault.lock().unwrap() = PlatformFault::None;
    sleep(Duration::from_secs(10)).await;
    *fixture.platform.fault.lock().unwrap() = PlatformFault::Hangs;

    kill_primary(&fixture).await;

    assert_eq!(check_history(&fixture.history(&keeper).await), vec![]);
}

// A failed member restarts, follows no primary and lacks entries. If it is not repointed, it stays
// behind permanently, and the next failover finds no majority.
#[tokio::test(start_paused = true)]
async fn restarted_members_follow_again() {
    let fixture = Fixture::new(3, 1);
    let keeper = fixture.start_keeper(0, &[]);
    stabilize().await;
    fixture.group.model().kill(2);
    stabilize().await;
    fixture.group.model().restart(2);
    stabilize().await;
    assert_eq!(fixture.group.model().members[2].leader, Some(member_name(0)));
    kill_primary(&fixture).await;
    fixture.group.model().restart(0);

    stabilize().await;

    let model = fixture.group.model();
    let primary = keeper.view.borrow().primary.clone();
    let followers = model.members.iter().filter(|member| member.leader == primary).count();
    assert_eq!(followers, 2);
}

// The primary is unreachable for every keeper but still accepts writes, also when it is reachable
// again after its successor's promotion. None of these writes may be acknowledged, and it must
// become a replica.
#[tokio::test(start_paused = true)]
async fn isolated_primary_acknowledges_nothing_and_follows_on_return() {
    let fixture = Fixture::new(3, 1);
    let keeper = fixture.start_keeper(0, &[]);
    stabilize().await;
    *fixture.group.unreachable_member.lock().unwrap() = Some(0);
    while keeper.view.borrow().primary.as_ref() != Some(&member_name(1)) {
        sleep(Duration::from_millis(10)).await;
    }

    *fixture.group.unreachable_member.lock().unwrap() = None;
    for value in 0..20 {
        fixture.group.model().write(0, 1_000_000 + value);
        sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(fixture.group.model().members[0].leader, Some(member_name(1)));
    assert_eq!(check_history(&fixture.history(&keeper).await), vec![]);
}

// A keeper failed after it promoted a member and before it repointed the others. Writes are
// accepted but not acknowledged until another keeper repoints them.
#[tokio::test(start_paused = true)]
async fn interrupted_promotion_is_completed_at_once() {
    let fixture = Fixture::new(3, 1);
    {
        let mut model = fixture.group.model();
        for index in 0..3 {
            model.run(index, &ControlStatement::Fence(LogTerm(2)));
        }
        model.run(1, &ControlStatement::Promote(LogTerm(2)));
    }

    let _keeper = fixture.start_keeper(0, &[]);
    sleep(Duration::from_millis(700)).await;

    assert_eq!(fixture.group.model().members[2].leader, Some(member_name(1)));
}

// Probes are in flight when a plan starts, and their late responses show the candidate as it was
// before its promotion. If they counted as responses to the plan's statements, they would end it.
#[tokio::test(start_paused = true)]
async fn late_probe_responses_do_not_end_a_plan() {
    let fixture = Fixture::new(3, 1);
    let _keeper = fixture.start_keeper(0, &[]);
    *fixture.group.status_delay.lock().unwrap() = Duration::from_millis(120);
    stabilize().await;

    kill_primary(&fixture).await;
    stabilize().await;

    assert_eq!(fixture.group.successions(), 1);
}

#[tokio::test(start_paused = true)]
async fn switch_order_moves_the_primary() {
    let fixture = Fixture::new(3, 1);
    let keeper = fixture.start_keeper(0, &[]);
    stabilize().await;
    let order = SwitchOrder { target: member_name(2), mark: WriterMark::random() };
    let spec = serde_json::to_value(&order).unwrap();
    let (kind, name) = (ObjectKind::SwitchOrder, service());
    fixture.platform.put(kind, name.as_str(), None, spec).await.unwrap();

    while term(&keeper) == LogTerm(1) {
        sleep(Duration::from_millis(1)).await;
    }
    stabilize().await;
    let gap = fixture.longest_gap();

    println!("gap {gap:?}");
    assert!(gap < SWITCH_GAP_MAX, "{gap:?}");
    assert_eq!(keeper.view.borrow().primary, Some(member_name(2)));
    assert_eq!(fixture.platform.get(kind, name.as_str()).await, Ok(None));
    assert_eq!(check_history(&fixture.history(&keeper).await), vec![]);
}

// A switch order cannot be removed. Later the new primary fails and another member is promoted. The
// order is read again, and must not move the primary back.
#[tokio::test(start_paused = true)]
async fn order_is_carried_out_once() {
    let fixture = Fixture::new(3, 1);
    let keeper = fixture.start_keeper(0, &[]);
    stabilize().await;
    *fixture.platform.fault.lock().unwrap() = PlatformFault::RejectsDeletes;
    let order = SwitchOrder { target: member_name(2), mark: WriterMark::random() };
    let spec = serde_json::to_value(&order).unwrap();
    let (kind, name) = (ObjectKind::SwitchOrder, service());
    fixture.platform.put(kind, name.as_str(), None, spec).await.unwrap();
    sleep(Duration::from_secs(10)).await;
    fixture.group.model().kill(2);
    fixture.next_acknowledgement().await;
    fixture.group.model().restart(2);

    sleep(Duration::from_secs(20)).await;
    let primary = keeper.view.borrow().primary.clone();
    *fixture.platform.fault.lock().unwrap() = PlatformFault::None;
    sleep(Duration::from_secs(10)).await;

    assert_ne!(primary, Some(member_name(2)));
    assert_eq!(keeper.view.borrow().primary, primary);
    assert_eq!(fixture.platform.get(kind, name.as_str()).await, Ok(None));
}
