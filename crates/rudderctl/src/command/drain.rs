//! `drain`: stops new work for a member by submitting a settings file for it.

use super::submit::AcceptedReport;
use crate::error::CommandError;
use crate::options::DrainOptions;
use crate::output::CommandReport;
use crate::platform::accepted_member;
use rudder_core::MemberName;
use rudder_settings::{FileName, FolderError, SettingsFile};
use rudder_store::{FolderChange, KubeStore, submit_change};

pub(crate) async fn drain(options: &DrainOptions) -> Result<CommandReport, CommandError> {
    let store = KubeStore::connect(options.platform.clone())?;
    accepted_member(&store, &options.service, &options.member).await?;
    let change = if options.undo {
        FolderChange { remove: vec![drain_file_name(&options.member)?], ..FolderChange::default() }
    } else {
        FolderChange { put: vec![drain_file(options)?], ..FolderChange::default() }
    };
    let outcome = submit_change(&store, change).await?;
    Ok(CommandReport::done(&AcceptedReport::from(outcome)))
}

/// Returns the name of the member's drain file. It sorts last, so that the file overrides all other
/// files with settings of the member.
fn drain_file_name(member: &MemberName) -> Result<FileName, FolderError> {
    format!("zz-drain-{member}.toml").parse()
}

fn drain_file(options: &DrainOptions) -> Result<SettingsFile, FolderError> {
    let DrainOptions { service, member, .. } = options;
    let text = format!("[services.\"{service}\".members.\"{member}\"]\ndraining = true\n");
    Ok(SettingsFile { name: drain_file_name(member)?, text })
}
