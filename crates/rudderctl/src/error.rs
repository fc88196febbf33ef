//! Errors of commands.

use crate::explain::ReportError;
use crate::output::ExitStatus;
use displaydoc::Display;
use rudder_core::{MemberName, ServiceName};
use rudder_settings::{FolderError, SettingsErrors, SettingsProblem};
use rudder_store::{BundleError, ReadError, StoreError, SubmitError};

/// Error that ends a command.
#[derive(Debug, Display)]
#[ignore_extra_doc_attributes]
pub(crate) enum CommandError {
    /// {0}
    Folder(FolderError),
    /// {0}
    Settings(SettingsErrors),
    /// {0}
    Submit(SubmitError),
    /// {0}
    Read(ReadError),
    /// the accepted settings cannot be used by this release: {0}
    Accepted(BundleError),
    /// no settings have been accepted yet; submit a folder first
    NothingAccepted,
    /// the accepted settings have no service {0}
    NoService(ServiceName),
    /// service {service} has no member {member}; it has {known}
    NoMember {
        /// The service.
        service: ServiceName,
        /// The member on the command line.
        member: MemberName,
        /// The names of its members.
        known: String,
    },
    /// service {0} is being switched already; wait until that order is carried out or refused
    SwitchInProgress(ServiceName),
    /// the answer was lost and the order may stand; look at the status before ordering again
    OrderUnknown,
    /// service {service} was not switched: {primary} is its primary; look at the keepers' log
    NotSwitched {
        /// The service.
        service: ServiceName,
        /// Its primary, as recorded in the platform.
        primary: String,
    },
    /// the order for {0} still stands; look at the status before ordering again
    OrderUnfinished(ServiceName),
    /// {path} cannot be written: {reason}
    Unwritable {
        /// The file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// {path} cannot be read: {reason}
    Unreadable {
        /// The file.
        path: String,
        /// The error of the operating system.
        reason: String,
    },
    /// {0}
    Explain(ReportError),
    /// {0} would be overwritten although changed here; submit or move them away, then fetch
    LocalChanges(String),
    /// {path} is damaged ({reason}); fetch the folder again
    DamagedBase {
        /// The file.
        path: String,
        /// The parse or read error.
        reason: String,
    },
}

impl std::error::Error for CommandError {}

impl CommandError {
    /// Returns the exit status for this error.
    pub(crate) fn exit(&self) -> ExitStatus {
        match self {
            Self::Submit(SubmitError::Unavailable)
            | Self::Read(ReadError::Store(StoreError::Unavailable)) => ExitStatus::Unavailable,
            Self::Submit(SubmitError::Unresolved)
            | Self::OrderUnknown
            | Self::OrderUnfinished(_) => ExitStatus::Unknown,
            _ => ExitStatus::Refused,
        }
    }

    /// Returns the single problems of refused settings.
    pub(crate) fn problems(&self) -> &[SettingsProblem] {
        match self {
            Self::Settings(refusal)
            | Self::Submit(SubmitError::Invalid(refusal))
            | Self::Accepted(BundleError::Refused(refusal)) => &refusal.problems,
            _ => &[],
        }
    }
}

impl From<FolderError> for CommandError {
    fn from(error: FolderError) -> Self {
        Self::Folder(error)
    }
}

impl From<SettingsErrors> for CommandError {
    fn from(errors: SettingsErrors) -> Self {
        Self::Settings(errors)
    }
}

impl From<SubmitError> for CommandError {
    fn from(error: SubmitError) -> Self {
        Self::Submit(error)
    }
}

impl From<ReadError> for CommandError {
    fn from(error: ReadError) -> Self {
        Self::Read(error)
    }
}

impl From<StoreError> for CommandError {
    fn from(error: StoreError) -> Self {
        Self::Read(error.into())
    }
}

impl From<BundleError> for CommandError {
    fn from(error: BundleError) -> Self {
        Self::Accepted(error)
    }
}
