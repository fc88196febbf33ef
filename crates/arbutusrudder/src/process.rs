//! This process's own settings: its addresses, failure domain, platform and peers.

use displaydoc::Display;
use rudder_core::{DomainName, InstanceName, plain_data};
use rudder_settings::{CallerSettings, ShedOrder};
use rudder_store::PlatformOptions;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Largest message that a caller may send, unless set: rows and COPY data may be larger.
const DEFAULT_MESSAGE_SIZE_MAX: u64 = 16 * 1024 * 1024;

/// Callers served at the same time, unless set.
const DEFAULT_CALLERS_MAX: u32 = 10_000;

/// Seconds between two looks at the certificate, unless set: renewed ones come days ahead.
const DEFAULT_TLS_RELOAD_S: u32 = 60;

/// Why the process settings cannot be used.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum ProcessError {
    /// the settings file {path} cannot be read: {reason}
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        reason: std::io::Error,
    },
    /// invalid process settings: {0}
    Invalid(String),
    /// {key} must be {expected}
    InvalidValue {
        /// The key.
        key: &'static str,
        /// What would be right.
        expected: &'static str,
    },
}

impl std::error::Error for ProcessError {}

plain_data! {
    /// The settings of one process, from a TOML file and the command line.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ProcessSettings {
        /// This instance's name.
        pub instance: InstanceName,
        /// The failure domain that it stands in.
        pub domain: DomainName,
        /// Where callers connect.
        pub listen: SocketAddr,
        /// Where operators read health, status and metrics.
        pub admin: SocketAddr,
        /// Where peers connect, over UDP and TCP.
        pub peer: SocketAddr,
        /// Addresses at which peers may be found; one live one is enough.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Address of the platform's object API, such as `http://10.0.0.1:8001`.
        pub platform: String,
        /// The platform's namespace that holds the project's objects.
        #[serde(default = "default_namespace")]
        pub namespace: String,
        /// Largest message in bytes that a caller may send.
        #[serde(default = "default_message_size")]
        pub message_size_max: u64,
        /// Callers served at the same time.
        #[serde(default = "default_callers")]
        pub callers_max: u32,
        /// Certificate chain towards callers, as PEM.
        #[serde(default)]
        pub tls_certificate: Option<PathBuf>,
        /// Its private key, as PEM.
        #[serde(default)]
        pub tls_key: Option<PathBuf>,
        /// Seconds after which the certificate and the key are read again.
        #[serde(default = "default_tls_reload")]
        pub tls_reload_s: u32,
        /// Members that this instance reaches at another address than the declared one, where
        /// addresses are translated on the way.
        #[serde(default)]
        pub routes: Vec<AddressRoute>,
        /// Names of the environment variables that hold callers' passwords, by user. A user that
        /// is not listed is trusted, unless `require_password` is set.
        #[serde(default)]
        pub passwords: Vec<UserPassword>,
        /// Whether users without a listed password are refused.
        #[serde(default)]
        pub require_password: bool,
    }
}

plain_data! {
    /// Where this instance reaches a member.
    #[derive(Copy, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct AddressRoute {
        /// The address that the settings declare.
        pub declared: SocketAddr,
        /// The address at which this instance reaches it.
        pub reached: SocketAddr,
    }
}

plain_data! {
    /// Where one user's password is.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct UserPassword {
        /// The user.
        pub user: String,
        /// The environment variable that holds the password.
        pub variable: String,
    }
}

/// One line of what the parser says, with the line that it means.
fn parse_error_message(text: &str, error: &toml::de::Error) -> String {
    let message = error.message().replace('\n', " ");
    match error.span() {
        Some(span) => {
            let line = text[..span.start.min(text.len())].lines().count().max(1);
            format!("line {line}: {message}")
        }
        None => message,
    }
}

fn default_namespace() -> String {
    PlatformOptions::default().namespace
}

fn default_message_size() -> u64 {
    DEFAULT_MESSAGE_SIZE_MAX
}

fn default_tls_reload() -> u32 {
    DEFAULT_TLS_RELOAD_S
}

fn default_callers() -> u32 {
    DEFAULT_CALLERS_MAX
}

/// What a user's login needs.
#[derive(Clone, PartialEq, Eq)]
pub(crate) enum LoginRule {
    /// Nothing.
    Trusted,
    /// This password.
    Password(String),
    /// Nothing would do.
    Refused,
}

impl ProcessSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] naming the key that is wrong and what would be right.
    ///
    /// ```
    /// let text = r#"
    ///     instance = "entry-1"
    ///     domain = "kigali-a"
    ///     listen = "127.0.0.1:6432"
    ///     admin = "127.0.0.1:6433"
    ///     peer = "127.0.0.1:6434"
    ///     platform = "http://127.0.0.1:8001"
    /// "#;
    /// let settings = arbutusrudder::ProcessSettings::parse(text)?;
    /// assert_eq!(settings.domain.as_str(), "kigali-a");
    /// # Ok::<(), arbutusrudder::ProcessError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, ProcessError> {
        let settings: Self = toml::from_str(text)
            .map_err(|error| ProcessError::Invalid(parse_error_message(text, &error)))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ProcessError> {
        let invalid = |key, expected| Err(ProcessError::InvalidValue { key, expected });
        if !self.platform.starts_with("http://") && !self.platform.starts_with("https://") {
            return invalid("platform", "an address that begins with http:// or https://");
        }
        if self.tls_certificate.is_some() != self.tls_key.is_some() {
            return invalid("tls_certificate", "given together with tls_key");
        }
        if self.message_size_max < 1024 {
            return invalid("message_size_max", "at least 1024 bytes");
        }
        if self.tls_reload_s == 0 {
            return invalid("tls_reload_s", "at least 1");
        }
        if self.callers_max == 0 {
            return invalid("callers_max", "at least 1");
        }
        Ok(())
    }

    /// What the login of `user` needs.
    pub(crate) fn login_rule(&self, user: &str) -> LoginRule {
        let listed = self.passwords.iter().find(|entry| entry.user == user);
        match listed.map(|entry| std::env::var(&entry.variable)) {
            Some(Ok(password)) => LoginRule::Password(password),
            // A listed user whose variable is missing must not become a trusted one.
            Some(Err(_)) => LoginRule::Refused,
            None if self.require_password => LoginRule::Refused,
            None => LoginRule::Trusted,
        }
    }

    /// What a user of no declared kind is given: the strictest staleness, and it is shed first.
    pub(crate) fn default_caller(&self) -> CallerSettings {
        CallerSettings {
            kind: "undeclared".parse().expect("the name has only allowed characters"),
            users: Vec::new(),
            staleness: Duration::ZERO,
            shed: ShedOrder::First,
            in_flight_max: 64,
            queue_wait: Duration::from_secs(2),
        }
    }
}
