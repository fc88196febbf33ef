//! Validates `[timing]`: intervals and timeouts.

use super::reader::TableReader;
use super::value::parse_duration;
use crate::model::TimingSettings;
use std::time::Duration;

/// Shorter timeouts would expire through scheduling jitter alone.
const TIMING_MIN: Duration = Duration::from_millis(1);
/// Maximum for timeouts that determine the failover duration and the waiting time of callers.
/// Longer ones would have no practical effect.
const REACTION_TIMEOUT_MAX: Duration = Duration::from_secs(60);
/// Maximum for timeouts of work requested by callers and of connections kept open for them.
const WORK_TIMEOUT_MAX: Duration = Duration::from_secs(24 * 3600);

pub(crate) fn read_timing(reader: &mut TableReader<'_, '_>) -> TimingSettings {
    let mut timing = TimingSettings::default();
    let fields: [(&'static str, &mut Duration, Duration); 10] = [
        ("probe_interval", &mut timing.probe_interval, REACTION_TIMEOUT_MAX),
        ("suspect_after", &mut timing.suspect_after, REACTION_TIMEOUT_MAX),
        ("read_wait", &mut timing.read_wait, REACTION_TIMEOUT_MAX),
        ("statement_timeout", &mut timing.statement_timeout, WORK_TIMEOUT_MAX),
        ("ack_timeout", &mut timing.ack_timeout, REACTION_TIMEOUT_MAX),
        ("login_timeout", &mut timing.login_timeout, REACTION_TIMEOUT_MAX),
        ("idle_timeout", &mut timing.idle_timeout, WORK_TIMEOUT_MAX),
        ("transaction_idle_timeout", &mut timing.transaction_idle_timeout, WORK_TIMEOUT_MAX),
        ("connect_timeout", &mut timing.connect_timeout, REACTION_TIMEOUT_MAX),
        ("idle_check_after", &mut timing.idle_check_after, WORK_TIMEOUT_MAX),
    ];
    for (key, field, most) in fields {
        let parse = |value: &_| parse_duration(value, TIMING_MIN, most);
        if let Some(duration) = reader.optional(key, parse) {
            *field = duration;
        }
    }
    reader.finish();
    // A shorter timeout would let a single late probe mark the primary as suspected and cause
    // repeated promotions. Two intervals leave time for at least one more complete probe.
    if timing.suspect_after < timing.probe_interval * 2 {
        let wrong =
            "shorter than two probe intervals, so one late probe marks the primary as suspected";
        let least = humantime::format_duration(timing.probe_interval * 2);
        reader.report_key("suspect_after", wrong.to_owned(), format!("give at least \"{least}\""));
    }
    timing
}
