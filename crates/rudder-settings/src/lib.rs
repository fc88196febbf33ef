//! The operators' folder of TOML files: merged by file name, checked as a whole, typed.

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
pub use problem::{SettingsProblem, SettingsRefusal, SourcePlace};
