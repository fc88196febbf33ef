//! Platform address of the command line.

use displaydoc::Display;
use std::fmt;
use std::str::FromStr;

/// `http` or `https` URL without a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlatformAddress(String);

impl fmt::Display for PlatformAddress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// "{0}" is not the platform's address: give http://HOST:PORT or https://HOST:PORT
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) struct AddressError(String);

impl std::error::Error for AddressError {}

impl FromStr for PlatformAddress {
    type Err = AddressError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let address_error = || AddressError(text.to_owned());
        let uri: http::Uri = text.parse().map_err(|_| address_error())?;
        let known_scheme = matches!(uri.scheme_str(), Some("http" | "https"));
        let no_path = matches!(uri.path(), "" | "/") && uri.query().is_none();
        if known_scheme && no_path && uri.authority().is_some() {
            return Ok(Self(text.to_owned()));
        }
        Err(address_error())
    }
}
