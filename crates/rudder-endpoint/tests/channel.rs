//! Control channel over a slow link.

use rudder_core::{ControlStatement, MemberRole};
use rudder_endpoint::{ControlChannel, LoginSettings, MemberAddress, MemberControl};
use rudder_standins::{GroupSettings, GroupStandin, LinkSettings, LinkStandin};
use std::time::Duration;

/// One-way delay; connecting, login and one statement take several round trips.
const LINK_DELAY: Duration = Duration::from_millis(60);

/// Longer than one round trip, shorter than connecting.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(200);

const ATTEMPTS_MAX: usize = 20;

/// Checks that the timeout of a statement does not also end connecting: on a slow link every
/// statement would then connect anew and time out, and the group would have no primary although
/// every member is up.
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
