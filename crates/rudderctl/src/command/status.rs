//! `status`: shows the accepted revision and the revision in force at each instance.

use super::instance::{InstanceResponse, InstanceStatus, StatusOutcome, query_instance};
use crate::error::CommandError;
use crate::options::StatusOptions;
use crate::output::{CommandReport, ExitStatus};
use rudder_store::{
    KubeStore, ReadError, RevisionNumber, SettingsRevision, StoreError, read_revision,
};
use serde::Serialize;
use std::fmt;

#[derive(Serialize)]
struct StatusReport {
    /// Accepted revision; `None` when the platform cannot be reached.
    accepted: Option<AcceptedRevision>,
    instances: Vec<InstanceResponse>,
}

#[derive(Serialize)]
struct AcceptedRevision {
    revision: RevisionNumber,
    files: Vec<String>,
}

impl From<SettingsRevision> for AcceptedRevision {
    fn from(revision: SettingsRevision) -> Self {
        let files = revision.files.iter().map(|file| file.name.to_string()).collect();
        Self { revision: revision.number, files }
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.accepted {
            Some(accepted) => {
                write!(f, "accepted revision {}", accepted.revision)?;
                for file in &accepted.files {
                    write!(f, "\n  {file}")?;
                }
            }
            None => f.write_str("accepted revision unknown: the platform cannot be reached")?,
        }
        for instance in &self.instances {
            write!(f, "\n{}: ", instance.admin)?;
            match &instance.outcome {
                StatusOutcome::Status(status) => write_instance(f, status)?,
                StatusOutcome::Unreachable(reason) => write!(f, "unreachable: {reason}")?,
            }
        }
        Ok(())
    }
}

fn write_instance(f: &mut fmt::Formatter<'_>, status: &InstanceStatus) -> fmt::Result {
    let leaving = if status.leaving { ", leaving" } else { "" };
    write!(f, "{}, revision {}{leaving}", status.instance, status.revision)?;
    for group in &status.groups {
        write!(f, "\n  {}: ", group.service)?;
        match (&group.primary, group.term) {
            (Some(primary), Some(term)) => write!(f, "primary {primary}, term {term}")?,
            _ => f.write_str("no primary known")?,
        }
    }
    Ok(())
}

pub(crate) async fn status(options: &StatusOptions) -> Result<CommandReport, CommandError> {
    let store = KubeStore::connect(options.platform.clone())?;
    let queries = options.instances.iter().map(|admin| query_instance(*admin));
    let (read, instances) =
        futures::future::join(read_revision(&store), futures::future::join_all(queries)).await;
    let (accepted, exit) = match read {
        Ok(read) => {
            let revision = read.map(|(_, revision)| revision).unwrap_or_default();
            (Some(revision.into()), ExitStatus::Done)
        }
        Err(ReadError::Store(StoreError::Unavailable)) => (None, ExitStatus::Unavailable),
        Err(error) => return Err(error.into()),
    };
    Ok(CommandReport::done(&StatusReport { accepted, instances }).with_exit(exit))
}
