//! Parsers for single values. Their errors state the problem and a correction.

use crate::source::SourceValue;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

/// Error for an invalid value: the problem and a suggested correction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ValueError {
    pub(crate) wrong: String,
    pub(crate) right: String,
}

impl ValueError {
    pub(crate) fn new(wrong: impl Into<String>, right: impl Into<String>) -> Self {
        Self { wrong: wrong.into(), right: right.into() }
    }

    fn wrong_type(value: &SourceValue, right: impl Into<String>) -> Self {
        Self::new(format!("{value} is {}", value.kind()), right)
    }
}

/// Parses a string that is not empty.
pub(crate) fn parse_string(value: &SourceValue) -> Result<String, ValueError> {
    match value {
        SourceValue::String(text) if !text.trim().is_empty() => Ok(text.clone()),
        SourceValue::String(_) => {
            Err(ValueError::new("the string is empty", "give a non-empty string"))
        }
        other => Err(ValueError::wrong_type(other, "give a string in quotes")),
    }
}

/// Parses a string into a name type.
pub(crate) fn parse_name<N: FromStr>(value: &SourceValue) -> Result<N, ValueError>
where
    N::Err: Display,
{
    let text = parse_string(value)?;
    let invalid_name = |error: N::Err| ValueError::new(error.to_string(), "give a valid name");
    text.parse().map_err(invalid_name)
}

/// Parses a list of distinct strings.
pub(crate) fn parse_string_list(value: &SourceValue) -> Result<Vec<String>, ValueError> {
    let SourceValue::List(nodes) = value else {
        return Err(ValueError::wrong_type(value, "give a list such as [\"anna\", \"ben\"]"));
    };
    let mut texts = Vec::new();
    for node in nodes {
        let text = parse_string(&node.value)?;
        if texts.contains(&text) {
            return Err(ValueError::new(format!("\"{text}\" is listed twice"), "list it once"));
        }
        texts.push(text);
    }
    Ok(texts)
}

/// Parses a boolean.
pub(crate) fn parse_boolean(value: &SourceValue) -> Result<bool, ValueError> {
    match value {
        SourceValue::Boolean(boolean) => Ok(*boolean),
        other => Err(ValueError::wrong_type(other, "give true or false, without quotes")),
    }
}

/// Parses an IP address and port. Host names are rejected, because processes communicate by IP
/// address.
pub(crate) fn parse_address(value: &SourceValue) -> Result<SocketAddr, ValueError> {
    let right = "give an IP address and port such as \"10.20.1.11:5432\"";
    let text = parse_string(value)?;
    let address: SocketAddr = text
        .parse()
        .map_err(|_| ValueError::new(format!("\"{text}\" is not an address"), right))?;
    if address.port() == 0 {
        return Err(ValueError::new(format!("\"{text}\" has port 0"), right));
    }
    Ok(address)
}

/// Parses an integer in the range `least..=most`.
pub(crate) fn parse_count(value: &SourceValue, least: u32, most: u32) -> Result<u32, ValueError> {
    let right = format!("give an integer from {least} to {most}, without quotes");
    let SourceValue::Integer(number) = value else {
        return Err(ValueError::wrong_type(value, right));
    };
    let in_range = |count: &u32| (least..=most).contains(count);
    let count = u32::try_from(*number).ok().filter(in_range);
    count.ok_or_else(|| ValueError::new(format!("{number} is out of range"), right))
}

/// Parses a percentage such as `"40%"` in the range `least..=most`.
pub(crate) fn parse_percent(value: &SourceValue, least: u32, most: u32) -> Result<u32, ValueError> {
    let right = format!("give a percentage such as \"40%\", from \"{least}%\" to \"{most}%\"");
    let SourceValue::String(text) = value else {
        return Err(ValueError::wrong_type(value, right));
    };
    let number = text.strip_suffix('%').and_then(|digits| digits.trim().parse::<u32>().ok());
    let in_range = |percent: &u32| (least..=most).contains(percent);
    let wrong = || ValueError::new(format!("\"{text}\" is not a valid percentage"), right);
    number.filter(in_range).ok_or_else(wrong)
}

/// Parses a duration with a unit, such as `"250ms"`, in the range `least..=most`.
pub(crate) fn parse_duration(
    value: &SourceValue,
    least: Duration,
    most: Duration,
) -> Result<Duration, ValueError> {
    let example = "give a duration with its unit such as \"250ms\" or \"2s\"";
    let SourceValue::String(text) = value else {
        return Err(ValueError::wrong_type(value, example));
    };
    let duration = humantime::parse_duration(text)
        .map_err(|error| ValueError::new(format!("\"{text}\": {error}"), example))?;
    if (least..=most).contains(&duration) {
        return Ok(duration);
    }
    let least = humantime::format_duration(least);
    let most = humantime::format_duration(most);
    let right = format!("give a duration from \"{least}\" to \"{most}\"");
    Err(ValueError::new(format!("\"{text}\" is out of range"), right))
}

/// Parses one of the names in `choices`.
pub(crate) fn parse_choice<T: Copy>(
    value: &SourceValue,
    choices: &[(&str, T)],
) -> Result<T, ValueError> {
    let names: Vec<String> = choices.iter().map(|(name, _)| format!("\"{name}\"")).collect();
    let right = format!("give {}", names.join(" or "));
    let SourceValue::String(text) = value else {
        return Err(ValueError::wrong_type(value, right));
    };
    let chosen = choices.iter().find(|(name, _)| name == text).map(|(_, choice)| *choice);
    chosen.ok_or_else(|| ValueError::new(format!("\"{text}\" is not a valid value"), right))
}
