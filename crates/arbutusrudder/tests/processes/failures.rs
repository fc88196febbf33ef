//! Processes that are killed or frozen.

use crate::program::{Fleet, insist, rows_of};
use rudder_core::MemberRole;
use rudder_standins::MemberKnob;

/// What a user sees: half of an order is in the books, or turns up in somebody else's.
/// Order: a caller changes rows in a transaction, its proxy's process is killed, other callers
/// write through another proxy to the same members.
/// Cause: nobody is left who could roll back, and the member is not told by anyone.
#[tokio::test(flavor = "multi_thread")]
async fn a_proxy_killed_in_a_transaction_leaves_nothing_of_it() {
    let mut fleet = Fleet::start(2).await;
    let (lost, _) = fleet.programs[0].connect("").await;
    let (other, _) = fleet.programs[1].connect("").await;
    insist(&other, "CREATE TABLE parts (id int PRIMARY KEY, title text)").await;
    lost.batch_execute("BEGIN; SET application_name = 'lost'").await.unwrap();
    lost.batch_execute("INSERT INTO parts VALUES (1, 'Kyrie')").await.unwrap();

    fleet.programs[0].signal("-KILL");
    fleet.programs[0].end().await;
    let cut = lost.batch_execute("COMMIT").await;
    for id in 2..6 {
        insist(&other, &format!("INSERT INTO parts VALUES ({id}, 'Gloria')")).await;
    }

    assert!(cut.is_err());
    assert_eq!(rows_of(&other, "SELECT id FROM parts ORDER BY id").await, ["2", "3", "4", "5"]);
    assert_eq!(rows_of(&other, "SHOW application_name").await, ["arbutusrudder"]);
}

/// What a user sees: orders that were acknowledged are gone, because two members took them.
/// Order: the primary dies; the first proxy that acts on it is frozen at once and wakes when
/// another has put a primary in place and the dead member is back.
/// Cause: the sleeper goes on with the promotion that it had begun.
#[tokio::test(flavor = "multi_thread")]
async fn a_promoter_that_froze_and_woke_makes_no_second_primary() {
    let fleet = Fleet::start(3).await;
    let group = &fleet.deployment.groups[0];
    let (maker, _) = fleet.programs[0].connect("").await;
    insist(&maker, "CREATE TABLE sheets (id int PRIMARY KEY)").await;
    insist(&maker, "INSERT INTO sheets VALUES (1)").await;

    group.turn(&"scores-orders-1".parse().unwrap(), MemberKnob::Kill).unwrap();
    let sleeper = fleet.first_to_act().await;
    fleet.programs[sleeper].signal("-STOP");
    let (awake, _) = fleet.programs[(sleeper + 1) % 3].connect("").await;
    insist(&awake, "INSERT INTO sheets VALUES (2)").await;
    group.turn(&"scores-orders-1".parse().unwrap(), MemberKnob::Restart).unwrap();
    fleet.programs[sleeper].signal("-CONT");
    let (woken, _) = fleet.programs[sleeper].connect("").await;
    insist(&woken, "INSERT INTO sheets VALUES (3)").await;
    insist(&awake, "INSERT INTO sheets VALUES (4)").await;

    let statuses = group.members().map(|(name, _)| group.status(name).unwrap());
    let primaries = statuses.filter(|status| status.role == MemberRole::Primary).count();
    let ids = rows_of(&awake, "SELECT id FROM sheets ORDER BY id").await;
    assert_eq!((primaries, ids), (1, ["1", "2", "3", "4"].map(str::to_owned).to_vec()));
}
