//! Tests of the membership of a service.

use crate::fixtures::{UnreachableDialer, member_entry};
use crate::group::{MemberEntry, MemberState, ServiceGroup};
use crate::interfaces::MemberDialer;
use crate::lead::{LeadPhase, LeadRecord, LeaderEpoch};
use rudder_core::{InstanceName, LogTerm, MemberName, MemberRole};
use rudder_decisions::{HolderCandidate, InstanceCapacity, NodePlace};
use std::sync::Arc;
use std::time::Duration;

fn name(text: &str) -> MemberName {
    text.parse().expect("a name")
}

fn settled(epoch: u64, primary: &str) -> LeadRecord {
    let phase = LeadPhase::Settled { primary: name(primary), term: LogTerm(epoch), base: None };
    LeadRecord { epoch: LeaderEpoch(epoch), mark: format!("m{epoch}"), phase, orders: Vec::new() }
}

fn group(primary: &str) -> (Arc<ServiceGroup>, Arc<dyn MemberDialer>) {
    let group = ServiceGroup::new("records".parse().expect("a name"));
    let dialer: Arc<dyn MemberDialer> = Arc::new(UnreachableDialer);
    group.observe_record(&settled(1, primary), Duration::ZERO);
    group.set_members(&[member_entry("a"), member_entry("b")], &dialer);
    (group, dialer)
}

#[test]
fn an_unregistered_primary_is_used_until_it_is_replaced() {
    // A primary loses its connection to the store and its registration expires. Callers that can
    // reach it would be refused for seconds until another member is promoted.
    let (group, dialer) = group("a");

    group.set_members(&[member_entry("b")], &dialer);
    let kept = group.member(&name("a"));
    group.observe_record(&settled(2, "b"), Duration::ZERO);
    group.remove_unlisted_primary();

    assert!(kept.is_some_and(|member| !member.is_listed()));
    assert!(group.member(&name("a")).is_none());
}

#[test]
fn an_unregistered_replica_is_removed() {
    let (group, dialer) = group("a");

    group.set_members(&[member_entry("a")], &dialer);

    assert!(group.member(&name("b")).is_none());
}

#[test]
fn a_primary_that_registers_again_is_kept() {
    let (group, dialer) = group("a");

    group.set_members(&[member_entry("b")], &dialer);
    group.set_members(&[member_entry("a"), member_entry("b")], &dialer);

    assert!(group.member(&name("a")).is_some_and(|member| member.is_listed()));
}

/// Returns a group whose member `a` is the primary by its record and by its own report.
fn settled_group() -> (Arc<ServiceGroup>, Arc<dyn MemberDialer>) {
    let (group, dialer) = group("a");
    let primary = MemberEntry { role: MemberRole::Primary, ..member_entry("a") };
    group.set_members(&[primary, member_entry("b")], &dialer);
    (group, dialer)
}

/// A keeper that worked out the health of each of a thousand primaries twenty times a second would
/// take more time than all statements.
#[test]
fn a_group_with_a_healthy_primary_needs_no_decision() {
    let (group, _) = settled_group();

    assert!(!group.needs_decision());
}

/// While the members of a thousand services register, each change of the list would replace the
/// members of all services.
#[test]
fn a_group_knows_whether_its_entries_changed() {
    let (group, dialer) = settled_group();
    let primary = MemberEntry { role: MemberRole::Primary, ..member_entry("a") };
    let other = member_entry("b");
    let restarted = MemberEntry { started_at_ms: 2, ..member_entry("b") };

    assert!(group.has_entries(&[&primary, &other]));
    assert!(!group.has_entries(&[&primary]), "a member is missing");
    assert!(!group.has_entries(&[&primary, &restarted]), "a member has restarted");
    group.set_members(&[member_entry("b")], &dialer);
    assert!(!group.has_entries(&[&primary, &other]), "the primary is not listed");
}

/// A lost, leaving or superseded primary must not be passed over.
#[test]
fn each_sign_against_a_primary_calls_for_a_decision() {
    let (group, dialer) = settled_group();
    group.record_watch_failure(LeaderEpoch(1), Duration::from_secs(1));
    assert!(group.needs_decision(), "the watch fails");

    group.clear_watch_failure();
    assert!(!group.needs_decision(), "the primary responds again");

    let leaving = MemberEntry {
        role: MemberRole::Primary,
        state: MemberState::Draining,
        ..member_entry("a")
    };
    group.set_members(&[leaving, member_entry("b")], &dialer);
    assert!(group.needs_decision(), "the primary is leaving");

    group.set_members(&[member_entry("a"), member_entry("b")], &dialer);
    assert!(group.needs_decision(), "the primary reports another role");

    group.set_members(&[member_entry("b")], &dialer);
    assert!(group.needs_decision(), "the primary is missing");

    let changing = LeadPhase::Changing {
        holder: "entry-1".parse().expect("a name"),
        process: 1,
        previous: None,
        planned: false,
    };
    let record = LeadRecord {
        epoch: LeaderEpoch(2),
        mark: "m2".to_owned(),
        phase: changing,
        orders: Vec::new(),
    };
    group.observe_record(&record, Duration::ZERO);
    assert!(group.needs_decision(), "a change is in progress");
    assert!(ServiceGroup::new("other".parse().expect("a name")).needs_decision(), "no record");
}

fn candidate(name: &str, domain: &str) -> HolderCandidate {
    HolderCandidate {
        instance: name.parse().expect("a name"),
        place: NodePlace { domain: domain.parse().expect("a name"), region: domain.to_owned() },
        capacity: InstanceCapacity(250),
    }
}

/// Connections that each of three instances may open to a member in `north`: two of that domain,
/// and one of another.
fn connections(forwards: bool) -> Vec<u32> {
    let holders = [
        candidate("entry-1", "north"),
        candidate("entry-2", "north"),
        candidate("entry-3", "south"),
    ];
    let all: Vec<InstanceName> = holders.iter().map(|holder| holder.instance.clone()).collect();
    let of = |own: &InstanceName| {
        let (group, _) = group("a");
        group.assign_connection_shares(28, own, &all, forwards.then_some(&holders));
        group.member(&name("a")).expect("a member").pool().spare_connections()
    };
    all.iter().map(of).collect()
}

#[tokio::test]
async fn shares_are_equal_unless_statements_are_forwarded() {
    // Where forwarding is not needed, instances must divide the connections as older builds do.
    assert_eq!(connections(false), [8, 8, 8]);
}

#[tokio::test]
async fn holders_divide_one_half_and_the_other_instances_the_rest() {
    // If holders had more, no connection would be left for those that cannot reach them.
    assert_eq!(connections(true), [6, 6, 12]);
}
