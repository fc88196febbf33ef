//! Validates `[services.NAME]` and `[services.NAME.members.NAME]`: a database group.

use super::reader::TableReader;
use super::value::{
    ValueError, parse_address, parse_boolean, parse_choice, parse_count, parse_name, parse_percent,
    parse_string,
};
use crate::model::{AckRule, MemberSettings, ServiceSettings};
use crate::source::SourceValue;
use rudder_core::{ConnectionCount, MemberName, MemberSpeed, ServiceName, SlotCount};

const SLOTS_MAX: u32 = 10_000;
const CONNECTIONS_MAX: u32 = 100_000;
/// Maximum speed in percent of the reference member.
const SPEED_MAX: u32 = 10_000;
const SPEED_DEFAULT: MemberSpeed = MemberSpeed(100);
const USER_DEFAULT: &str = "rudder";

const ACK_RULES: [(&str, AckRule); 2] =
    [("majority", AckRule::Majority), ("primary", AckRule::Primary)];

pub(crate) fn read_service(
    name: ServiceName,
    reader: &mut TableReader<'_, '_>,
) -> Option<ServiceSettings> {
    let database = reader.optional("database", parse_string);
    let user = reader.optional("user", parse_string);
    let password_variable = reader.optional("password_variable", parse_variable_name);
    let ack = reader.optional("ack", |value| parse_choice(value, &ACK_RULES));
    let members = reader.named_tables("members", read_member);
    reader.finish();
    Some(ServiceSettings {
        database: database.unwrap_or_else(|| name.to_string()),
        user: user.unwrap_or_else(|| USER_DEFAULT.to_owned()),
        password_variable,
        ack: ack.unwrap_or_default(),
        members,
        name,
    })
}

fn read_member(name: MemberName, reader: &mut TableReader<'_, '_>) -> Option<MemberSettings> {
    let address = reader.required("address", "\"10.20.1.11:5432\"", parse_address);
    let domain = reader.required("domain", "\"kigali-a\"", parse_name);
    let slots = reader.required("slots", "5", |value| parse_count(value, 1, SLOTS_MAX));
    let connections =
        reader.required("connections", "30", |value| parse_count(value, 1, CONNECTIONS_MAX));
    let speed = reader.optional("speed", |value| parse_percent(value, 1, SPEED_MAX));
    let draining = reader.optional("draining", parse_boolean);
    reader.finish();
    if let (Some(slots), Some(connections)) = (slots, connections)
        && connections < slots
    {
        let wrong = format!("{connections} connections are fewer than {slots} slots");
        reader.report_key("connections", wrong, format!("give at least {slots}"));
    }
    Some(MemberSettings {
        name,
        address: address?,
        domain: domain?,
        slots: SlotCount(slots?),
        connections: ConnectionCount(connections?),
        speed: speed.map_or(SPEED_DEFAULT, MemberSpeed),
        draining: draining.unwrap_or_default(),
    })
}

/// Parses the name of an environment variable. Error messages omit the value, because it may be a
/// password that was entered by mistake.
fn parse_variable_name(value: &SourceValue) -> Result<String, ValueError> {
    let right =
        "name the environment variable that holds the password, such as \"SCORES_PASSWORD\"";
    let SourceValue::String(text) = value else {
        return Err(ValueError::new("not a string", right));
    };
    let allowed = |byte: u8| byte.is_ascii_uppercase() || byte.is_ascii_digit() || byte == b'_';
    let valid_start = text.bytes().next().is_some_and(|byte| !byte.is_ascii_digit());
    if valid_start && text.bytes().all(allowed) {
        return Ok(text.clone());
    }
    Err(ValueError::new("not a valid variable name (A-Z, 0-9 and \"_\")", right))
}
