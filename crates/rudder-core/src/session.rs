//! Session tokens: the minimum log positions that a session must see, in a form that callers carry
//! from one proxy instance to another.

use crate::error::ParseError;
use crate::ident::{ServiceName, check_name};
use crate::stamp::LogStamp;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Format version, the first field of a token's text form.
const TOKEN_FORMAT: &str = "v1";

/// Maximum length of a token. Tokens come from callers, so the length is checked before anything
/// is stored.
const TOKEN_LENGTH_MAX: usize = 4096;

const TOKEN_SHAPE: &str = "v1/<id>[/<service>=<term>:<position>]...";

/// The identity of a session, chosen by the proxy or by the caller.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SessionId(String);

impl SessionId {
    /// Creates a random identity.
    ///
    /// ```
    /// use rudder_core::SessionId;
    /// assert_ne!(SessionId::random(), SessionId::random());
    /// ```
    #[must_use]
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().simple().to_string())
    }

    /// Returns the identity as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SessionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for SessionId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        check_name("session id", text)?;
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for SessionId {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<SessionId> for String {
    fn from(id: SessionId) -> Self {
        id.0
    }
}

crate::plain_data! {
    /// The minimum stamp that a session must see of one service.
    #[derive(Serialize, Deserialize)]
    pub struct SessionFloor {
        /// The service.
        pub service: ServiceName,
        /// The minimum stamp.
        pub stamp: LogStamp,
    }
}

crate::plain_data! {
    /// A session's identity and the minimum stamp that it must see of each service.
    #[derive(Serialize, Deserialize)]
    pub struct SessionToken {
        id: SessionId,
        floors: Vec<SessionFloor>,
    }
}

impl SessionToken {
    /// Creates a token of a session that has written nothing yet.
    ///
    /// ```
    /// use rudder_core::{SessionId, SessionToken};
    /// let token = SessionToken::new("anna".parse::<SessionId>()?);
    /// assert_eq!(token.to_string(), "v1/anna");
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn new(id: SessionId) -> Self {
        Self { id, floors: Vec::new() }
    }

    /// Returns the session's identity.
    #[must_use]
    pub fn id(&self) -> &SessionId {
        &self.id
    }

    /// Returns the minimum stamps, sorted by service name.
    #[must_use]
    pub fn floors(&self) -> &[SessionFloor] {
        &self.floors
    }

    /// Returns the minimum stamp that this session must see of `service`.
    ///
    /// ```
    /// use rudder_core::{LogStamp, SessionToken};
    /// let token: SessionToken = "v1/anna/scores-db=2:40".parse()?;
    /// assert_eq!(token.floor(&"scores-db".parse()?), Some(LogStamp::new(2, 40)));
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    #[must_use]
    pub fn floor(&self, service: &ServiceName) -> Option<LogStamp> {
        let index = self.floors.binary_search_by(|floor| floor.service.cmp(service)).ok()?;
        Some(self.floors[index].stamp)
    }

    /// Raises the minimum stamp of `service`; a lower stamp has no effect.
    ///
    /// ```
    /// use rudder_core::{LogStamp, SessionToken};
    /// let mut token: SessionToken = "v1/anna/scores-db=2:40".parse()?;
    /// token.raise(&"scores-db".parse()?, LogStamp::new(1, 99));
    /// assert_eq!(token.to_string(), "v1/anna/scores-db=2:40");
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn raise(&mut self, service: &ServiceName, stamp: LogStamp) {
        match self.floors.binary_search_by(|floor| floor.service.cmp(service)) {
            Ok(index) => {
                let floor = &mut self.floors[index];
                floor.stamp = floor.stamp.max(stamp);
            }
            Err(index) => {
                self.floors.insert(index, SessionFloor { service: service.clone(), stamp });
            }
        }
    }

    /// Raises every minimum stamp to that of another token of the same session.
    ///
    /// ```
    /// use rudder_core::SessionToken;
    /// let mut token: SessionToken = "v1/anna/a=1:1".parse()?;
    /// token.merge(&"v1/anna/b=1:2".parse()?);
    /// assert_eq!(token.to_string(), "v1/anna/a=1:1/b=1:2");
    /// # Ok::<(), rudder_core::ParseError>(())
    /// ```
    pub fn merge(&mut self, other: &Self) {
        for floor in &other.floors {
            self.raise(&floor.service, floor.stamp);
        }
    }
}

impl fmt::Display for SessionToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{TOKEN_FORMAT}/{}", self.id)?;
        for floor in &self.floors {
            write!(f, "/{}={}", floor.service, floor.stamp)?;
        }
        Ok(())
    }
}

impl FromStr for SessionToken {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || ParseError::Shape {
            what: "session token",
            text: text.chars().take(80).collect(),
            expected: TOKEN_SHAPE,
        };
        if text.len() > TOKEN_LENGTH_MAX {
            return Err(malformed());
        }
        let mut fields = text.split('/');
        if fields.next() != Some(TOKEN_FORMAT) {
            return Err(malformed());
        }
        let mut token = Self::new(fields.next().ok_or_else(malformed)?.parse()?);
        for field in fields {
            let (service, stamp) = field.split_once('=').ok_or_else(malformed)?;
            token.raise(&service.parse()?, stamp.parse()?);
        }
        Ok(token)
    }
}
