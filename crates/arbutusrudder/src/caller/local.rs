//! Statements on the proxy's own settings, which are served without a member.

use super::response::{
    put_complete, put_error, put_parameter, put_ready, put_text_column, put_text_value,
};
use super::session::CallerSession;
use crate::classify::SessionChange;
use crate::exchange::{BatchEnd, CallerBatch};
use std::time::Duration;

/// Name prefix of the proxy's own settings.
pub(crate) const PROXY_PREFIX: &str = "rudder.";

/// SQLSTATE of a setting that does not exist.
const UNKNOWN_SETTING: &str = "42704";

/// SQLSTATE of an invalid value of a setting.
const INVALID_VALUE: &str = "22023";

/// Reason why a change of a proxy setting was rejected.
pub(crate) struct SettingRefusal {
    /// The SQLSTATE for the caller.
    pub(crate) sqlstate: &'static str,
    /// The message for the caller.
    pub(crate) message: String,
}

/// Serves a simple query that concerns this proxy alone. Returns `false` if a member must serve it.
pub(crate) fn serve_locally(session: &mut CallerSession, batch: &CallerBatch) -> bool {
    if batch.end != BatchEnd::Simple {
        return false;
    }
    let mut facts = batch.facts();
    let (Some(only), None) = (facts.next(), facts.next()) else {
        return false;
    };
    let Some(change) = &only.change else {
        return false;
    };
    if !is_proxy_change(change) {
        return false;
    }
    let outcome = run_proxy_change(session, change);
    let out = session.link.write_buffer();
    match outcome {
        Ok(ProxyReply { value, tag }) => {
            if let (Some(value), SessionChange::Show { name }) = (value, change) {
                put_text_column(out, name);
                put_text_value(out, &value);
            }
            put_complete(out, tag);
        }
        Err(refusal) => put_error(out, refusal.sqlstate, &refusal.message),
    }
    let status = session.status();
    put_ready(session.link.write_buffer(), status);
    true
}

/// Whether a batch mixes statements for this proxy with others in a way that cannot be served. On a
/// member, DEALLOCATE would drop what other callers prepared, and SHOW would not know the setting.
pub(crate) fn mixes_proxy_statements(batch: &CallerBatch) -> bool {
    batch.changes().any(|change| {
        let shows = matches!(change, SessionChange::Show { .. });
        is_proxy_change(change) && (shows || matches!(change, SessionChange::Deallocate { .. }))
    })
}

/// Whether a change concerns this proxy alone.
pub(crate) fn is_proxy_change(change: &SessionChange) -> bool {
    match change {
        SessionChange::Set { name, .. }
        | SessionChange::Reset { name }
        | SessionChange::Show { name } => name.starts_with(PROXY_PREFIX),
        SessionChange::Deallocate { .. } => true,
        SessionChange::ResetAll | SessionChange::DiscardAll => false,
    }
}

/// Result of a statement that this proxy serves itself.
pub(crate) struct ProxyReply {
    /// The value to show, if any.
    pub(crate) value: Option<String>,
    /// The command tag.
    pub(crate) tag: &'static str,
}

/// Runs a statement that concerns this proxy alone.
pub(crate) fn run_proxy_change(
    session: &mut CallerSession,
    change: &SessionChange,
) -> Result<ProxyReply, SettingRefusal> {
    let (value, tag) = match change {
        SessionChange::Set { name, value, .. } => {
            set_proxy_setting(session, name, value.as_deref())?;
            (None, "SET")
        }
        SessionChange::Reset { name } => {
            reset_proxy_setting(session, name)?;
            (None, "RESET")
        }
        SessionChange::Show { name } => (Some(proxy_setting(session, name)?), "SHOW"),
        SessionChange::Deallocate { name: Some(name) } => {
            session.remove_statement(name);
            (None, "DEALLOCATE")
        }
        SessionChange::Deallocate { name: None } => {
            session.prepared.clear();
            (None, "DEALLOCATE ALL")
        }
        SessionChange::ResetAll | SessionChange::DiscardAll => (None, "RESET"),
    };
    Ok(ProxyReply { value, tag })
}

/// Applies the proxy settings given at login.
pub(crate) fn set_proxy_settings(
    session: &mut CallerSession,
    settings: &[(String, String)],
) -> Result<(), SettingRefusal> {
    settings.iter().try_for_each(|(name, value)| set_proxy_setting(session, name, Some(value)))
}

/// Applies one proxy setting.
pub(crate) fn set_proxy_setting(
    session: &mut CallerSession,
    name: &str,
    value: Option<&str>,
) -> Result<(), SettingRefusal> {
    let value = value.ok_or_else(|| invalid_value(name, "a single literal value"))?;
    match name {
        "rudder.session" => {
            let token: rudder_core::SessionToken = value
                .parse()
                .map_err(|_| invalid_value(name, "a token that this proxy reported"))?;
            session.token.merge(&token);
        }
        "rudder.key" => {
            session.key = Some(
                value.parse().map_err(|_| invalid_value(name, "1 to 200 printable characters"))?,
            );
        }
        "rudder.staleness_ms" => {
            let bound = value.parse().map_err(|_| invalid_value(name, "a whole number of ms"))?;
            session.staleness = Some(Duration::from_millis(bound));
        }
        _ => return Err(unknown_setting(name)),
    }
    Ok(())
}

fn reset_proxy_setting(session: &mut CallerSession, name: &str) -> Result<(), SettingRefusal> {
    match name {
        "rudder.key" => session.key = None,
        "rudder.staleness_ms" => session.staleness = None,
        _ => return Err(unknown_setting(name)),
    }
    Ok(())
}

fn proxy_setting(session: &CallerSession, name: &str) -> Result<String, SettingRefusal> {
    match name {
        "rudder.session" => Ok(session.token.to_string()),
        "rudder.session_id" => Ok(session.token.id().to_string()),
        "rudder.key" => Ok(session.key.as_ref().map(ToString::to_string).unwrap_or_default()),
        "rudder.staleness_ms" => Ok(session.bound().as_millis().to_string()),
        _ => Err(unknown_setting(name)),
    }
}

/// Reports the session's token, which the caller can present to other instances.
pub(crate) fn report_token(session: &mut CallerSession) {
    let token = session.token.to_string();
    put_parameter(session.link.write_buffer(), "rudder.session", &token);
}

fn unknown_setting(name: &str) -> SettingRefusal {
    let message = format!(
        "there is no setting {name}: the proxy's own are rudder.session, rudder.session_id, \
         rudder.key and rudder.staleness_ms"
    );
    SettingRefusal { sqlstate: UNKNOWN_SETTING, message }
}

fn invalid_value(name: &str, expected: &str) -> SettingRefusal {
    SettingRefusal { sqlstate: INVALID_VALUE, message: format!("{name} takes {expected}") }
}
