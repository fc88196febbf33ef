//! The control channel over a slow link.

use rudder_core::{ControlStatement, MemberRole};
use rudder_endpoint::{ControlChannel, LoginSettings, MemberAddress, MemberControl};
use rudder_standins::{GroupSettings, GroupStandin, LinkSettings, LinkStandin};
use std::time::Duration;

/// One way; connecting, logging in and one statement take several round trips of it.
const LINK_DELAY: Duration = Duration::from_millis(60);

/// More than one round trip, less than connecting takes.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(200);

const ATTEMPTS_MAX: usize = 20;

/// What a user sees: a group without a primary, though every member is up.
/// Order: the control connection over a slow link ends; every statement that follows has to
/// connect first, and is given up before it is connected.
/// Cause: the bound of one statement ended the connecting too, so each try began from nothing.
#[tokio::test]
async fn slow_link_connects_although_statements_time_out() {
    let group = GroupStandin::start(GroupSettings::loopback("scores".parse().unwrap()));
    let group = group.await.unwrap();
    let (_, member) = group.members().next().unwrap();
    let settings = LinkSettings { delay: LINK_DELAY, ..LinkSettings::loopback(member) };
    let link = LinkStandin::start(&settings).await.unwrap();
    let login = LoginSettings { user: "app".into(), database: "db".into(), password: None };
    let channel = ControlChannel::new(MemberAddress { address: link.address(), login });

    let mut status = None;
    for _ in 0..ATTEMPTS_MAX {
        status = channel.run(&ControlStatement::Status, STATEMENT_TIMEOUT).await.ok();
        if status.is_some() {
            break;
        }
    }

    assert_eq!(status.map(|status| status.role), Some(MemberRole::Primary));
}
