//! The operators' folder of TOML files: merged by file name, checked as a whole, typed.

mod model;

pub use model::{
    AckRule, CallerSettings, DomainSettings, FleetSettings, MemberSettings, ServiceSettings,
    ShedOrder, TimingSettings,
};
