//! Tests of the refusals that callers receive.

use super::write::refusal_notice;
use rudder_core::RefusalNotice;
use rudder_decisions::{RefusalCause, RefusalReason};
use std::time::Duration;

fn too_late() -> RefusalReason {
    RefusalReason { word: RefusalCause::TooLate, retry_after: Duration::from_millis(40) }
}

#[test]
fn a_write_without_confirmed_primary_is_not_refused_as_overload() {
    // The proxy is partitioned with a superseded primary, which cannot be confirmed. The deadline
    // passes before the next attempt, and admission rejects every request past its deadline. The
    // refusal must not claim that too many requests are waiting.
    let notice = refusal_notice(&too_late(), true);

    assert!(matches!(notice, RefusalNotice::NoPrimary { .. }), "{notice:?}");
}

#[test]
fn a_write_rejected_before_any_attempt_is_refused_as_overload() {
    let notice = refusal_notice(&too_late(), false);

    let retry_after = Duration::from_millis(40);
    assert_eq!(notice, RefusalNotice::Overloaded { retry_after });
}
