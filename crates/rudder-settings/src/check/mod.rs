//! Validates the merged tree and reports all problems, not only the first.

mod caller;
mod domain;
mod fleet;
mod nearest;
mod reader;
mod service;
mod timing;
mod value;

use crate::model::FleetSettings;
use crate::problem::SettingsProblem;
use crate::source::SourceTable;
use reader::TableReader;

/// Converts the tree to settings and adds all problems to `problems`.
///
/// The result is only valid if no problem was added.
pub(crate) fn check_tree(tree: &SourceTable, problems: &mut Vec<SettingsProblem>) -> FleetSettings {
    let mut reader = TableReader::root(tree, problems);
    let domains = reader.named_tables("domains", domain::read_domain);
    let services = reader.named_tables("services", service::read_service);
    let callers = reader.named_tables("callers", caller::read_caller);
    let timing = reader.table("timing", timing::read_timing).unwrap_or_default();
    reader.finish();
    let fleet = FleetSettings { services, callers, domains, timing };
    fleet::check_fleet(tree, &fleet, problems);
    fleet
}
