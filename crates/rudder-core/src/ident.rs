//! Names used in settings, logs and messages, and the key of a request.

use crate::derive::name_type;
use crate::error::ParseError;
use serde::{Deserialize, Serialize};

/// Maximum length of a name: names are used in messages and as object names, which allow 63
/// characters.
const NAME_LENGTH_MAX: usize = 63;

/// Maximum length of a request key. Keys come from callers and may be longer than names.
const KEY_LENGTH_MAX: usize = 200;

name_type! {
    /// A database service: a group of members holding the same data.
    ServiceName
}
name_type! {
    /// One member (endpoint) of a service's database group.
    MemberName
}
name_type! {
    /// One instance (machine) that runs the proxy.
    InstanceName
}
name_type! {
    /// A failure domain (zone).
    DomainName
}
name_type! {
    /// A client account, which has its own keys and its own limit.
    AccountName
}
name_type! {
    /// A kind of caller (customer), which determines limits and staleness bounds.
    CallerKind
}

/// The key of a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestKey(String);

impl RequestKey {
    /// Returns the key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Display for RequestKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::str::FromStr for RequestKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let has_valid_length = !text.is_empty() && text.len() <= KEY_LENGTH_MAX;
        if has_valid_length && text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'\'') {
            return Ok(Self(text.to_owned()));
        }
        Err(ParseError::Shape {
            what: "request key",
            text: text.chars().take(KEY_LENGTH_MAX).collect(),
            expected: "1 to 200 printable ASCII characters without spaces or quotes",
        })
    }
}

impl TryFrom<String> for RequestKey {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestKey> for String {
    fn from(key: RequestKey) -> Self {
        key.0
    }
}

/// Checks the characters and the length of a name.
pub(crate) fn check_name(what: &'static str, text: &str) -> Result<(), ParseError> {
    let has_valid_length = !text.is_empty() && text.len() <= NAME_LENGTH_MAX;
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    if has_valid_length && text.bytes().all(allowed) {
        return Ok(());
    }
    Err(ParseError::Name { what, text: text.chars().take(NAME_LENGTH_MAX).collect() })
}
