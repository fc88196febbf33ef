//! Validates `[callers.KIND]`: limits and guarantees for one kind of caller.

use super::reader::TableReader;
use super::value::{parse_choice, parse_count, parse_duration, parse_string_list};
use crate::model::{CallerSettings, ShedOrder};
use rudder_core::CallerKind;
use std::time::Duration;

/// Reads that may be more than a day stale are most likely a configuration error.
const STALENESS_MAX: Duration = Duration::from_secs(24 * 3600);
/// Callers time out long before this, so the result of the request would be discarded.
const QUEUE_WAIT_MAX: Duration = Duration::from_secs(300);
const QUEUE_WAIT_MIN: Duration = Duration::from_millis(1);
const QUEUE_WAIT_DEFAULT: Duration = Duration::from_secs(2);
/// More requests than this would not fit into the memory of one instance.
const IN_FLIGHT_MAX: u32 = 100_000;
const IN_FLIGHT_DEFAULT: u32 = 256;

const SHED_ORDERS: [(&str, ShedOrder); 2] =
    [("first", ShedOrder::First), ("last", ShedOrder::Last)];

pub(crate) fn read_caller(
    kind: CallerKind,
    reader: &mut TableReader<'_, '_>,
) -> Option<CallerSettings> {
    let users = reader.required("users", "[\"anna\"]", parse_string_list);
    let staleness = reader.required("staleness", "\"2s\"", |value| {
        parse_duration(value, Duration::ZERO, STALENESS_MAX)
    });
    let shed = reader.optional("shed", |value| parse_choice(value, &SHED_ORDERS));
    let in_flight_max =
        reader.optional("in_flight_max", |value| parse_count(value, 1, IN_FLIGHT_MAX));
    let queue_wait = reader
        .optional("queue_wait", |value| parse_duration(value, QUEUE_WAIT_MIN, QUEUE_WAIT_MAX));
    reader.finish();
    Some(CallerSettings {
        kind,
        users: users?,
        staleness: staleness?,
        shed: shed.unwrap_or_default(),
        in_flight_max: in_flight_max.unwrap_or(IN_FLIGHT_DEFAULT),
        queue_wait: queue_wait.unwrap_or(QUEUE_WAIT_DEFAULT),
    })
}
