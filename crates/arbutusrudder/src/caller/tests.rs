//! Tests of what callers are told.

use super::write::notice_of;
use rudder_core::RefusalNotice;
use rudder_decisions::{RefusalCause, RefusalReason};
use std::time::Duration;

fn too_late() -> RefusalReason {
    RefusalReason { word: RefusalCause::TooLate, retry_after: Duration::from_millis(40) }
}

#[test]
fn a_write_that_found_no_confirmed_primary_is_not_called_overload() {
    // A crew at a proxy that is cut off with the old primary is told that too many requests wait,
    // though it is alone. The primary is asked, cannot be confirmed, and the time for another
    // attempt ends just before the gate is asked, which lets nothing in that is late.
    let told = notice_of(&too_late(), true);

    assert!(matches!(told, RefusalNotice::NoPrimary { .. }), "{told:?}");
}

#[test]
fn a_write_that_was_turned_away_before_any_attempt_is_overload() {
    let told = notice_of(&too_late(), false);

    let retry_after = Duration::from_millis(40);
    assert_eq!(told, RefusalNotice::Overloaded { retry_after });
}
