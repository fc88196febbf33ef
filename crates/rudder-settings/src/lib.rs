//! Reads the operators' folder of TOML settings files, merges the files in the order of their names
//! and validates the result.

mod check;
mod file;
mod folder;
mod merge;
mod model;
mod problem;
mod source;

pub use file::{FileName, FolderError, SettingsFile, read_folder};
pub use folder::{MergedFolder, MergedValue, merge_folder};
pub use model::{
    AckRule, CallerSettings, DomainSettings, FleetSettings, MemberSettings, ServiceSettings,
    ShedOrder, TimingSettings,
};
pub use problem::{SettingsErrors, SettingsProblem, SourcePlace};
