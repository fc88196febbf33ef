//! `check`: merges and checks a settings folder without a platform.

use crate::error::CommandError;
use crate::options::CheckOptions;
use crate::output::CommandReport;
use rudder_settings::{MergedFolder, MergedValue, merge_folder, read_folder};
use serde::Serialize;
use std::fmt;

#[derive(Serialize)]
struct CheckReport {
    files: usize,
    services: usize,
    members: usize,
    callers: usize,
    domains: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    values: Option<Vec<MergedValue>>,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for value in self.values.iter().flatten() {
            writeln!(f, "{} = {}  # {}", value.key, value.value, value.place)?;
        }
        write!(
            f,
            "valid: {} files, {} services, {} members, {} caller kinds, {} failure domains",
            self.files, self.services, self.members, self.callers, self.domains
        )
    }
}

pub(crate) fn check(options: &CheckOptions) -> Result<CommandReport, CommandError> {
    let files = read_folder(&options.folder)?;
    let MergedFolder { fleet, values } = merge_folder(&files)?;
    let report = CheckReport {
        files: files.len(),
        services: fleet.services.len(),
        members: fleet.services.iter().map(|service| service.members.len()).sum(),
        callers: fleet.callers.len(),
        domains: fleet.domains.len(),
        values: options.explain.then_some(values),
    };
    Ok(CommandReport::done(&report))
}
