//! Processes that are killed or frozen.

use crate::program::{Fleet, execute_until_accepted, rows_of};
use rudder_core::MemberRole;
use rudder_standins::MemberKnob;

/// What a user sees: half of an order is in the books, or turns up in somebody else's.
/// Order: a caller changes rows in a transaction, its proxy's process is killed, other callers
/// write through another proxy to the same members.
/// Cause: nobody is left who could roll back, and the member is not told by anyone.
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

/// What a user sees: orders that were acknowledged are gone, because two members took them.
/// Order: the primary dies; the first proxy that acts on it is frozen at once and wakes when
/// another has put a primary in place and the dead member is back.
/// Cause: the sleeper goes on with the promotion that it had begun.
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
