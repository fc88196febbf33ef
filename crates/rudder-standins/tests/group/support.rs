//! Fixtures for the tests of the database group stand-in.

use rudder_core::{ControlStatement, LogStamp, LogTerm, MemberName, MemberStatus};
use rudder_standins::{GroupSettings, GroupStandin};
use std::time::Duration;
use tokio_postgres::{Client, NoTls};

/// Starts a group of three members without delays.
pub(crate) async fn group() -> GroupStandin {
    GroupStandin::start(settings()).await.unwrap()
}

pub(crate) fn settings() -> GroupSettings {
    GroupSettings::loopback("orders".parse().unwrap())
}

/// Returns the name of the member with this index, starting from 0.
pub(crate) fn name(index: usize) -> MemberName {
    format!("orders-{}", index + 1).parse().unwrap()
}

/// Connects a standard client to a member.
pub(crate) async fn connect(group: &GroupStandin, index: usize) -> Client {
    try_connect(group, index).await.unwrap()
}

pub(crate) async fn try_connect(
    group: &GroupStandin,
    index: usize,
) -> Result<Client, tokio_postgres::Error> {
    let (_, address) = group.members().nth(index).unwrap();
    let config = format!("host=127.0.0.1 port={} user=tester dbname=orders", address.port());
    let (client, connection) = tokio_postgres::connect(&config, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Returns the SQLSTATE of a failed statement; panics if the statement succeeded.
pub(crate) fn sqlstate<T: std::fmt::Debug>(result: Result<T, tokio_postgres::Error>) -> String {
    result.unwrap_err().code().unwrap().code().to_owned()
}

pub(crate) fn fence(group: &GroupStandin, index: usize, term: u64) -> MemberStatus {
    group.control(&name(index), &ControlStatement::Fence(LogTerm(term))).unwrap()
}

pub(crate) fn promote(group: &GroupStandin, index: usize, term: u64) -> MemberStatus {
    group.control(&name(index), &ControlStatement::Promote(LogTerm(term))).unwrap()
}

pub(crate) fn follow(group: &GroupStandin, index: usize, term: u64, leader: usize) -> MemberStatus {
    let statement = ControlStatement::Follow(LogTerm(term), name(leader));
    group.control(&name(index), &statement).unwrap()
}

/// Waits until a member has applied the log up to `stamp`.
pub(crate) async fn wait_applied(group: &GroupStandin, index: usize, stamp: LogStamp) {
    while group.status(&name(index)).unwrap().applied != stamp {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

pub(crate) fn status(group: &GroupStandin, index: usize) -> MemberStatus {
    group.status(&name(index)).unwrap()
}
