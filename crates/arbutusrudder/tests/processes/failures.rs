//! Killed and frozen processes.

use crate::program::{Fleet, execute_until_accepted, rows_of};
use rudder_core::MemberRole;
use rudder_standins::MemberKnob;

/// A proxy is killed while a caller's transaction is open, and others write through another proxy.
/// The killed proxy cannot send a rollback, so the member must roll back by itself; otherwise part
/// of the transaction would stay or mix with another caller's.
#[tokio::test(flavor = "multi_thread")]
async fn a_transaction_is_rolled_back_when_its_proxy_is_killed() {
    let mut fleet = Fleet::start(2).await;
    let (killed, _) = fleet.programs[0].connect("").await;
    let (other, _) = fleet.programs[1].connect("").await;
    execute_until_accepted(&other, "CREATE TABLE parts (id int PRIMARY KEY, title text)").await;
    killed.batch_execute("BEGIN; SET application_name = 'lost'").await.unwrap();
    killed.batch_execute("INSERT INTO parts VALUES (1, 'Kyrie')").await.unwrap();

    fleet.programs[0].signal("-KILL");
    fleet.programs[0].wait_for_exit().await;
    let commit = killed.batch_execute("COMMIT").await;
    for id in 2..6 {
        execute_until_accepted(&other, &format!("INSERT INTO parts VALUES ({id}, 'Gloria')")).await;
    }

    assert!(commit.is_err());
    assert_eq!(rows_of(&other, "SELECT id FROM parts ORDER BY id").await, ["2", "3", "4", "5"]);
    assert_eq!(rows_of(&other, "SHOW application_name").await, ["arbutusrudder"]);
}

/// The primary is killed, and the first proxy that starts a promotion is frozen. It resumes after
/// another proxy has promoted a member and the old primary has restarted. If it continued its
/// promotion, two primaries would accept writes and acknowledged ones would be lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_proxy_resumed_during_a_promotion_makes_no_second_primary() {
    let fleet = Fleet::start(3).await;
    let group = &fleet.deployment.groups[0];
    let (setup, _) = fleet.programs[0].connect("").await;
    execute_until_accepted(&setup, "CREATE TABLE sheets (id int PRIMARY KEY)").await;
    execute_until_accepted(&setup, "INSERT INTO sheets VALUES (1)").await;

    group.turn(&"scores-orders-1".parse().unwrap(), MemberKnob::Kill).unwrap();
    let frozen = fleet.first_to_start_succession().await;
    fleet.programs[frozen].signal("-STOP");
    let (running, _) = fleet.programs[(frozen + 1) % 3].connect("").await;
    execute_until_accepted(&running, "INSERT INTO sheets VALUES (2)").await;
    group.turn(&"scores-orders-1".parse().unwrap(), MemberKnob::Restart).unwrap();
    fleet.programs[frozen].signal("-CONT");
    let (resumed, _) = fleet.programs[frozen].connect("").await;
    execute_until_accepted(&resumed, "INSERT INTO sheets VALUES (3)").await;
    execute_until_accepted(&running, "INSERT INTO sheets VALUES (4)").await;

    let statuses = group.members().map(|(name, _)| group.status(name).unwrap());
    let primaries = statuses.filter(|status| status.role == MemberRole::Primary).count();
    let ids = rows_of(&running, "SELECT id FROM sheets ORDER BY id").await;
    assert_eq!((primaries, ids), (1, ["1", "2", "3", "4"].map(str::to_owned).to_vec()));
}
