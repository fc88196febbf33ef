//! `[timing]`: bounds in time.

use super::reader::TableReader;
use super::value::parse_duration;
use crate::model::TimingSettings;
use std::time::Duration;

/// Shorter bounds would fire on scheduling jitter alone.
const TIMING_MIN: Duration = Duration::from_millis(1);
/// Longer bounds are as good as none.
const TIMING_MAX: Duration = Duration::from_secs(24 * 3600);

pub(crate) fn read_timing(reader: &mut TableReader<'_, '_>) -> TimingSettings {
    let mut timing = TimingSettings::default();
    let fields: [(&'static str, &mut Duration); 10] = [
        ("probe_interval", &mut timing.probe_interval),
        ("suspect_after", &mut timing.suspect_after),
        ("read_wait", &mut timing.read_wait),
        ("statement_timeout", &mut timing.statement_timeout),
        ("ack_timeout", &mut timing.ack_timeout),
        ("login_timeout", &mut timing.login_timeout),
        ("idle_timeout", &mut timing.idle_timeout),
        ("transaction_idle_timeout", &mut timing.transaction_idle_timeout),
        ("connect_timeout", &mut timing.connect_timeout),
        ("idle_check_after", &mut timing.idle_check_after),
    ];
    for (key, field) in fields {
        let parse = |value: &_| parse_duration(value, TIMING_MIN, TIMING_MAX);
        if let Some(duration) = reader.optional(key, parse) {
            *field = duration;
        }
    }
    reader.finish();
    // Guards against a primary that is suspected because one probe was late: such a fleet would
    // promote over and over. At least one whole further probe fits into the bound.
    if timing.suspect_after < timing.probe_interval * 2 {
        let wrong = "shorter than two probe intervals, so one late probe raises suspicion";
        let least = humantime::format_duration(timing.probe_interval * 2);
        reader.refuse_key("suspect_after", wrong.to_owned(), format!("give at least \"{least}\""));
    }
    timing
}
