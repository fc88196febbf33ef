//! Tracks the changes that statements make to the session's settings, so that they can be applied
//! to any connection that serves the session next.

use super::local::{is_proxy_change, set_proxy_setting};
use super::session::CallerSession;
use crate::classify::SessionChange;
use crate::exchange::{BatchOutcome, CallerBatch};
use crate::group::PooledConnection;

/// Records the changes of a batch that ran on `pooled`.
pub(crate) fn apply(
    session: &mut CallerSession,
    batch: &CallerBatch,
    pooled: &mut PooledConnection,
    outcome: &BatchOutcome,
) {
    if outcome.error.is_some() {
        session.restore_names(outcome.names_changed);
        if batch.changes().next().is_some() {
            // A commit inside the batch may have kept a setting although a later statement failed,
            // and the connection's next caller would get it. Its settings are now unknown and
            // are applied again before the next use.
            pooled.invalidate_settings();
        }
        return;
    }
    if !batch.executes {
        return;
    }
    for change in batch.changes() {
        if is_proxy_change(change) {
            if let SessionChange::Set { name, value, .. } = change {
                // The member accepted the value; an invalid one has no effect on this proxy.
                let _ = set_proxy_setting(session, name, value.as_deref());
            }
            continue;
        }
        apply_to(&mut session.settings, change);
        apply_to(&mut pooled.settings, change);
        if *change == SessionChange::DiscardAll {
            pooled.prepared.clear();
            session.prepared.clear();
        }
    }
}

fn apply_to(settings: &mut Vec<(String, String)>, change: &SessionChange) {
    match change {
        SessionChange::Set { name, statement, .. } => {
            match settings.binary_search_by(|(known, _)| known.cmp(name)) {
                Ok(index) => settings[index].1.clone_from(statement),
                Err(index) => settings.insert(index, (name.clone(), statement.clone())),
            }
        }
        SessionChange::Reset { name } => settings.retain(|(known, _)| known != name),
        SessionChange::ResetAll | SessionChange::DiscardAll => settings.clear(),
        SessionChange::Show { .. } | SessionChange::Deallocate { .. } => {}
    }
}
