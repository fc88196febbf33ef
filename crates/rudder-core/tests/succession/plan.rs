//! Tests of single steps of a succession plan that generated schedules rarely reach.

use super::model::{ModelGroup, member_name};
use rudder_core::{
    ControlStatement, LogStamp, LogTerm, MemberRole, MemberStatus, PlanMember, PlanReply,
    PlanRequest, PlanState, PlanTimeouts, SuccessionPlan,
};
use std::time::Duration;

const TIMEOUTS: PlanTimeouts = PlanTimeouts {
    retry: Duration::from_millis(50),
    grace: Duration::from_millis(60),
    timeout: Duration::from_millis(400),
};
const TERM: LogTerm = LogTerm(2);

fn plan() -> SuccessionPlan {
    let member = |index| PlanMember { name: member_name(index), preference: index as u32 };
    SuccessionPlan::new(TERM, (0..3).map(member).collect(), TIMEOUTS)
}

fn status(role: MemberRole, accepted: LogTerm, position: u64) -> PlanReply {
    let received = LogStamp::new(1, position);
    PlanReply::Status(MemberStatus { role, accepted, received, applied: received })
}

fn fenced(position: u64) -> PlanReply {
    status(MemberRole::Replica, TERM, position)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn fence_all(plan: &mut SuccessionPlan, replies: [PlanReply; 3]) {
    plan.poll(Duration::ZERO);
    for (index, reply) in replies.into_iter().enumerate() {
        let statement = ControlStatement::Fence(TERM);
        plan.handle_reply(Duration::ZERO, &member_name(index), &statement, reply);
    }
}

fn request(member: usize, statement: ControlStatement) -> PlanRequest {
    PlanRequest { member: member_name(member), statement }
}

fn drive(plan: &mut SuccessionPlan, group: &mut ModelGroup, rounds: u64) {
    for round in 0..rounds {
        let now = round * TIMEOUTS.retry.as_millis() as u64;
        for request in plan.poll(millis(now)) {
            let index = group.index_of(&request.member);
            let reply = group.run(index, &request.statement);
            plan.handle_reply(millis(now), &request.member, &request.statement, reply);
        }
        (0..group.members.len()).for_each(|index| group.replicate(index, 1));
    }
}

#[test]
fn failed_primary_is_replaced_by_most_advanced_member() {
    let mut group = ModelGroup::new(3);
    for value in 0..4 {
        group.write(0, value);
    }
    group.replicate(1, 2);
    group.replicate(2, 3);
    group.kill(0);
    let mut plan = plan();

    drive(&mut plan, &mut group, 4);

    assert_eq!(plan.state(), PlanState::Done(member_name(2)));
    assert_eq!(group.members[1].leader, Some(member_name(2)));
}

// A write was acknowledged by the old primary and one other member, and the promoter reaches only
// the third. Promoting that member without a fenced majority would lose the write.
#[test]
fn fenced_minority_does_not_promote() {
    let mut plan = plan();

    fence_all(&mut plan, [PlanReply::NoResponse, fenced(3), PlanReply::NoResponse]);

    let requests = plan.poll(millis(10_000));
    let fence = || ControlStatement::Fence(TERM);
    assert_eq!(requests, vec![request(0, fence()), request(2, fence())]);
}

// A member replies to the fence with the old term and continues to receive the old primary's writes.
// If it counted as fenced, its log could grow after the logs were compared.
#[test]
fn member_at_lower_term_is_not_fenced() {
    let mut plan = plan();
    let unfenced = status(MemberRole::Replica, LogTerm(1), 9);

    fence_all(&mut plan, [unfenced, fenced(3), PlanReply::NoResponse]);

    let requests = plan.poll(millis(10_000));
    assert!(requests.contains(&request(0, ControlStatement::Fence(TERM))));
}

// Besides the primary, only the slowest member received a write. The write can be kept if the plan
// waits a short time for more replies after a majority is fenced.
#[test]
fn plan_waits_for_replies_beyond_the_majority() {
    let mut plan = plan();
    plan.poll(Duration::ZERO);
    let fence = ControlStatement::Fence(TERM);
    plan.handle_reply(Duration::ZERO, &member_name(0), &fence, fenced(3));
    plan.handle_reply(Duration::ZERO, &member_name(1), &fence, fenced(3));

    let early = plan.poll(millis(59));
    plan.handle_reply(millis(59), &member_name(2), &fence, fenced(4));
    let late = plan.poll(millis(59));

    assert_eq!(early, vec![]);
    assert_eq!(late, vec![request(2, ControlStatement::Promote(TERM))]);
}

// The reply to the promotion is lost, so the member may be primary of this term. Promoting another
// member at the same term would make two primaries whose commits could not be told apart.
#[test]
fn unanswered_promotion_ends_the_plan() {
    let mut plan = plan();
    fence_all(&mut plan, [PlanReply::NoResponse, fenced(4), fenced(3)]);
    let sent = plan.poll(millis(1));

    plan.handle_reply(millis(2), &member_name(1), &sent[0].statement, PlanReply::NoResponse);
    let retried = plan.poll(millis(60));
    let after = plan.poll(millis(401));

    assert_eq!(retried, vec![request(1, ControlStatement::Promote(TERM))]);
    assert_eq!(after, vec![]);
    assert_eq!(plan.state(), PlanState::CandidateLost(member_name(1)));
}

// A member rejects the promotion, either explicitly or by returning a term that is not greater.
#[test]
fn refused_promotion_ends_the_plan() {
    for refusal in [PlanReply::Refused, PlanReply::Superseded(LogTerm(1))] {
        let mut plan = plan();
        fence_all(&mut plan, [PlanReply::NoResponse, fenced(4), fenced(3)]);
        let sent = plan.poll(millis(1));

        plan.handle_reply(millis(2), &member_name(1), &sent[0].statement, refusal);

        assert_eq!(plan.state(), PlanState::CandidateLost(member_name(1)));
    }
}

// The new primary fails after it replied to the promotion. A status that was requested before the
// others replicate from it must not confirm it and make the group writable.
#[test]
fn confirmation_must_be_requested_after_the_others_follow() {
    let mut plan = plan();
    fence_all(&mut plan, [PlanReply::NoResponse, fenced(4), fenced(3)]);
    let leads = status(MemberRole::Primary, TERM, 4);
    let promote = ControlStatement::Promote(TERM);
    plan.poll(millis(1));
    plan.handle_reply(millis(2), &member_name(1), &promote, leads);
    plan.poll(millis(3));
    let follow = ControlStatement::Follow(TERM, member_name(1));
    plan.handle_reply(millis(4), &member_name(2), &follow, fenced(3));

    plan.handle_reply(millis(5), &member_name(1), &ControlStatement::Status, leads);
    let early = plan.state();
    plan.poll(millis(6));
    plan.handle_reply(millis(7), &member_name(1), &ControlStatement::Status, leads);

    assert_eq!(early, PlanState::Running);
    assert_eq!(plan.state(), PlanState::Done(member_name(1)));
}

#[test]
fn candidate_that_fails_after_promotion_ends_the_plan() {
    let mut plan = plan();
    fence_all(&mut plan, [PlanReply::NoResponse, fenced(4), fenced(3)]);
    plan.poll(millis(1));
    let promote = ControlStatement::Promote(TERM);
    plan.handle_reply(millis(2), &member_name(1), &promote, status(MemberRole::Primary, TERM, 4));
    plan.poll(millis(3));

    plan.handle_reply(millis(4), &member_name(1), &ControlStatement::Status, PlanReply::NoResponse);
    plan.poll(millis(402));

    assert_eq!(plan.state(), PlanState::CandidateLost(member_name(1)));
}

// A promoter is suspended after fencing, and another one begins at a greater term. When the first
// one resumes and sends its promotion, the rejection ends its plan, so it truncates no log.
#[test]
fn resumed_promoter_is_superseded() {
    let mut group = ModelGroup::new(3);
    group.kill(0);
    let mut resumed = plan();
    fence_all(&mut resumed, [PlanReply::NoResponse, fenced(0), fenced(0)]);
    group.run(1, &ControlStatement::Fence(LogTerm(3)));
    group.run(2, &ControlStatement::Fence(LogTerm(3)));

    drive(&mut resumed, &mut group, 2);

    assert_eq!(resumed.state(), PlanState::Superseded(LogTerm(3)));
    assert!(group.members[1..].iter().all(|member| member.role == MemberRole::Replica));
}

#[test]
fn planned_switch_waits_until_target_has_caught_up() {
    let mut group = ModelGroup::new(3);
    for value in 0..3 {
        group.write(0, value);
    }
    let mut plan = plan().switch_to(member_name(1));

    drive(&mut plan, &mut group, 12);

    assert_eq!(plan.state(), PlanState::Done(member_name(1)));
    assert_eq!(group.members[1].log.len(), 3);
    assert_eq!(group.members[0].leader, Some(member_name(1)));
}

// The target of a switch is suspended before it replies to the catch-up statement. If it were
// promoted and ran that statement on resuming, it would become a replica again and truncate
// acknowledged writes.
#[test]
fn target_with_unanswered_follow_is_not_promoted() {
    let mut plan = plan().switch_to(member_name(1));
    fence_all(&mut plan, [fenced(4), fenced(3), fenced(3)]);
    let follow = ControlStatement::Follow(TERM, member_name(0));
    let sent = plan.poll(millis(1));

    plan.handle_reply(millis(2), &member_name(1), &follow, PlanReply::NoResponse);
    let next = plan.poll(millis(3));

    assert_eq!(sent, vec![request(1, follow)]);
    assert_eq!(next, vec![request(0, ControlStatement::Promote(TERM))]);
}
