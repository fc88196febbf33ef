//! Tests of what callers are told.

use super::write::refusal_notice;
use rudder_core::RefusalNotice;
use rudder_decisions::{RefusalCause, RefusalReason};
use std::time::Duration;

fn too_late() -> RefusalReason {
    RefusalReason { word: RefusalCause::TooLate, retry_after: Duration::from_millis(40) }
}

#[test]
fn a_write_without_confirmed_primary_is_not_refused_as_overload() {
    // A crew at a proxy that is cut off with the old primary is told that too many requests wait,
    // though it is alone. The primary is asked, cannot be confirmed, and the time for another
    // attempt ends just before the gate is asked, which lets nothing in that is late.
    let notice = refusal_notice(&too_late(), true);

    assert!(matches!(notice, RefusalNotice::NoPrimary { .. }), "{notice:?}");
}

#[test]
fn a_write_rejected_before_any_attempt_is_refused_as_overload() {
    let notice = refusal_notice(&too_late(), false);

    let retry_after = Duration::from_millis(40);
    assert_eq!(notice, RefusalNotice::Overloaded { retry_after });
}
