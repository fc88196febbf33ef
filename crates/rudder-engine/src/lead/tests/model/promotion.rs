//! Promotion orders in the model, which may be lost and take effect after their sender has ended.

use super::super::{member, ms};
use super::Model;
use rand::RngExt;
use rand::rngs::StdRng;
use rudder_core::MemberName;
use std::time::Duration;

/// Members that may be promoted.
const MEMBERS: [&str; 3] = ["p1", "p2", "p3"];

/// Maximum time for which a connection holds an order up.
const TRANSIT_MS: u64 = 2000;

/// Duration of a promotion.
const PROMOTION_MS: u64 = 1000;

/// Promotion that has been ordered.
#[derive(Clone, Debug)]
pub(super) struct Promotion {
    due_at: Duration,
    member: MemberName,
}

impl Model {
    /// Sends an order, which usually arrives fast, sometimes late and sometimes never.
    pub(super) fn send_order(&mut self, member: &MemberName, rng: &mut StdRng) {
        let transit = match rng.random_range(0..10) {
            0 => return,
            1..3 => rng.random_range(0..TRANSIT_MS),
            _ => rng.random_range(1..40),
        };
        let due_at = self.now + ms(transit + PROMOTION_MS);
        self.promotions_due.push(Promotion { due_at, member: member.clone() });
    }

    /// Lets the promotions that are due take effect, in the order of their times.
    pub(super) fn promote_due(&mut self) {
        let now = self.now;
        let (mut due, remaining): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.promotions_due).into_iter().partition(|p| p.due_at <= now);
        self.promotions_due = remaining;
        due.sort_by_key(|promotion| promotion.due_at);
        if let Some(last) = due.pop() {
            self.leader = last.member;
        }
    }

    /// Returns a member that responds to a change, which may be any.
    pub(super) fn responding_member(&self, rng: &mut StdRng) -> MemberName {
        member(MEMBERS[rng.random_range(0..MEMBERS.len())])
    }
}
