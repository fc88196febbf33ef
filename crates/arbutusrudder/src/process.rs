//! Settings of one process: addresses, failure domain, platform and peers.

use displaydoc::Display;
use rudder_core::{ByteSize, DomainName, InstanceName, plain_data};
use rudder_decisions::MachineLimits;
use rudder_settings::{CallerSettings, ShedOrder};
use rudder_store::PlatformOptions;
use rustix::process::{Resource, getrlimit};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Default for the largest message of a caller, in bytes. Rows and COPY data may be larger.
const DEFAULT_MESSAGE_SIZE_MAX: u64 = 16 * 1024 * 1024;

/// Default for the maximum number of concurrent callers.
const DEFAULT_CALLERS_MAX: u32 = 10_000;

/// Smallest memory that the process can work with, in megabytes.
const MEMORY_MB_MIN: u64 = 64;

const BYTES_PER_MB: u64 = 1_000_000;

/// Default for the seconds between two reloads of the certificate. Certificates are renewed days
/// before they expire, so this is often enough.
const DEFAULT_TLS_RELOAD_S: u32 = 60;

/// Error from reading the process settings.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub enum ProcessError {
    /// the settings file {path} cannot be read: {reason}
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        reason: std::io::Error,
    },
    /// invalid process settings: {0}
    Invalid(String),
    /// {key} must be {expected}
    InvalidValue {
        /// Key in the settings file.
        key: &'static str,
        /// Description of a valid value.
        expected: &'static str,
    },
}

impl std::error::Error for ProcessError {}

plain_data! {
    /// Settings of one process, from a TOML file.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct ProcessSettings {
        /// Name of this instance.
        pub instance: InstanceName,
        /// Failure domain of this instance.
        pub domain: DomainName,
        /// Address for callers.
        pub listen: SocketAddr,
        /// Address of the admin pages: health, status and metrics.
        pub admin: SocketAddr,
        /// Address for peers, over UDP and TCP.
        pub peer: SocketAddr,
        /// Addresses of possible peers; one that responds is enough to join.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// Address of the platform's object API, such as `http://10.0.0.1:8001`.
        pub platform: String,
        /// Platform namespace that holds the project's objects.
        #[serde(default = "default_namespace")]
        pub namespace: String,
        /// Largest message of a caller, in bytes.
        #[serde(default = "default_message_size")]
        pub message_size_max: u64,
        /// Maximum number of concurrent callers.
        #[serde(default = "default_callers")]
        pub callers_max: u32,
        /// Memory of the machine for this process, in megabytes. What callers may occupy together
        /// is derived from it.
        #[serde(default = "default_memory")]
        pub memory_mb: u64,
        /// PEM file with the certificate chain presented to callers.
        #[serde(default)]
        pub tls_certificate: Option<PathBuf>,
        /// PEM file with the private key of the certificate.
        #[serde(default)]
        pub tls_key: Option<PathBuf>,
        /// Seconds between two reloads of the certificate and the key.
        #[serde(default = "default_tls_reload")]
        pub tls_reload_s: u32,
        /// Members that this instance reaches at another address than the declared one, because of
        /// address translation.
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
    /// Mapping of a member's declared address to the one that this instance connects to.
    #[derive(Copy, Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct AddressRoute {
        /// Address in the fleet settings.
        pub declared: SocketAddr,
        /// Address that this instance connects to.
        pub reached: SocketAddr,
    }
}

plain_data! {
    /// Source of one user's password.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct UserPassword {
        /// User name.
        pub user: String,
        /// Environment variable that holds the password.
        pub variable: String,
    }
}

/// Returns the parser's message in one line, prefixed with its line number in the file.
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

fn default_memory() -> u64 {
    MachineLimits::default().memory.0 / BYTES_PER_MB
}

fn default_callers() -> u32 {
    DEFAULT_CALLERS_MAX
}

/// Authentication required for a user.
#[derive(Clone, PartialEq, Eq)]
pub(crate) enum LoginRule {
    /// No password is required.
    Trusted,
    /// This password is required.
    Password(String),
    /// Every login is refused.
    Refused,
}

impl ProcessSettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// [`ProcessError`] that names the invalid key and the valid values.
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
        if self.memory_mb < MEMORY_MB_MIN {
            return invalid("memory_mb", "at least 64 megabytes");
        }
        if self.callers_max == 0 {
            return invalid("callers_max", "at least 1");
        }
        Ok(())
    }

    /// Returns the memory and descriptors that the process may use.
    pub(crate) fn machine_limits(&self) -> MachineLimits {
        let memory = ByteSize(self.memory_mb.saturating_mul(BYTES_PER_MB));
        let files = getrlimit(Resource::Nofile).current;
        let descriptors = files.map_or(u32::MAX, |files| u32::try_from(files).unwrap_or(u32::MAX));
        MachineLimits { memory, descriptors }
    }

    /// Returns the authentication required for `user`.
    pub(crate) fn login_rule(&self, user: &str) -> LoginRule {
        let listed = self.passwords.iter().find(|entry| entry.user == user);
        match listed.map(|entry| std::env::var(&entry.variable)) {
            Some(Ok(password)) => LoginRule::Password(password),
            // A listed user must not become trusted because its variable is missing.
            Some(Err(_)) => LoginRule::Refused,
            None if self.require_password => LoginRule::Refused,
            None => LoginRule::Trusted,
        }
    }

    /// Returns the settings of users of no declared kind: the strictest staleness, shed first.
    pub(crate) fn undeclared_caller_settings(&self) -> CallerSettings {
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
