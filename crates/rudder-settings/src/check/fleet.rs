//! Checks across tables: undeclared domains, services without members, and duplicate addresses,
//! users and member names.

use crate::model::FleetSettings;
use crate::problem::{SettingsProblem, SourcePlace};
use crate::source::{SourceTable, SourceValue};

/// Adds the problems that involve several tables of a tree to `problems`.
pub(crate) fn check_fleet(
    tree: &SourceTable,
    fleet: &FleetSettings,
    problems: &mut Vec<SettingsProblem>,
) {
    check_members_present(tree, fleet, problems);
    check_domains(tree, fleet, problems);
    check_addresses(tree, fleet, problems);
    check_member_names(tree, fleet, problems);
    check_users(tree, fleet, problems);
}

/// Reports services without members, which cannot serve any request. Members that are invalid for
/// another reason count as present.
fn check_members_present(
    tree: &SourceTable,
    fleet: &FleetSettings,
    problems: &mut Vec<SettingsProblem>,
) {
    for service in &fleet.services {
        let path = ["services", service.name.as_str()];
        let members = find_value(tree, &[path[0], path[1], "members"]);
        let present =
            matches!(members, Some(SourceValue::Table(table)) if !table.entries.is_empty());
        if !present {
            let right = format!("add a table [services.{}.members.NAME]", service.name);
            problems.push(problem_at(tree, &path, "the service has no members", right));
        }
    }
}

fn check_domains(tree: &SourceTable, fleet: &FleetSettings, problems: &mut Vec<SettingsProblem>) {
    // Uses the keys of the tree instead of the valid domains, because a domain without a region is
    // declared too.
    let known: Vec<&str> = match find_value(tree, &["domains"]) {
        Some(SourceValue::Table(table)) => {
            table.entries.iter().map(|entry| entry.key.as_str()).collect()
        }
        _ => Vec::new(),
    };
    for (service, member) in all_members(fleet) {
        if known.binary_search(&member.domain.as_str()).is_ok() {
            continue;
        }
        let path = ["services", service, "members", member.name.as_str(), "domain"];
        let wrong = format!("failure domain \"{}\" is not declared", member.domain);
        let declare = format!("declare it with [domains.{}]", member.domain);
        let right = match known.as_slice() {
            [] => declare,
            names => format!("use one of {}, or {declare}", names.join(", ")),
        };
        problems.push(problem_at(tree, &path, wrong, right));
    }
}

fn check_addresses(tree: &SourceTable, fleet: &FleetSettings, problems: &mut Vec<SettingsProblem>) {
    let mut seen: Vec<(std::net::SocketAddr, String)> = Vec::new();
    for (service, member) in all_members(fleet) {
        let owner = format!("services.{service}.members.{}", member.name);
        match seen.binary_search_by(|(address, _)| address.cmp(&member.address)) {
            Ok(index) => {
                let path = ["services", service, "members", member.name.as_str(), "address"];
                let wrong =
                    format!("address {} is already used by {}", member.address, seen[index].1);
                let right = "give each member a unique address";
                problems.push(problem_at(tree, &path, wrong, right));
            }
            Err(index) => seen.insert(index, (member.address, owner)),
        }
    }
}

/// Reports duplicate member names. Logs and switch orders identify members by name, so a name has
/// to be unique across all services.
fn check_member_names(
    tree: &SourceTable,
    fleet: &FleetSettings,
    problems: &mut Vec<SettingsProblem>,
) {
    let mut seen: Vec<(&str, &str)> = Vec::new();
    for (service, member) in all_members(fleet) {
        let name = member.name.as_str();
        match seen.binary_search_by(|(known, _)| (*known).cmp(name)) {
            Ok(index) => {
                let path = ["services", service, "members", name];
                let wrong =
                    format!("service {} already has a member with this name", seen[index].1);
                let right = "give each member a name that is unique across all services";
                problems.push(problem_at(tree, &path, wrong, right));
            }
            Err(index) => seen.insert(index, (name, service)),
        }
    }
}

fn check_users(tree: &SourceTable, fleet: &FleetSettings, problems: &mut Vec<SettingsProblem>) {
    let mut seen: Vec<(&str, &str)> = Vec::new();
    for caller in &fleet.callers {
        let kind = caller.kind.as_str();
        for user in &caller.users {
            match seen.binary_search_by(|(known, _)| (*known).cmp(user)) {
                Ok(index) => {
                    let path = ["callers", kind, "users"];
                    let wrong =
                        format!("user \"{user}\" is already listed in kind {}", seen[index].1);
                    let right = "list each user in one kind of caller only";
                    problems.push(problem_at(tree, &path, wrong, right));
                }
                Err(index) => seen.insert(index, (user, kind)),
            }
        }
    }
}

fn all_members(
    fleet: &FleetSettings,
) -> impl Iterator<Item = (&str, &crate::model::MemberSettings)> {
    fleet.services.iter().flat_map(|service| {
        service.members.iter().map(move |member| (service.name.as_str(), member))
    })
}

fn problem_at(
    tree: &SourceTable,
    path: &[&str],
    wrong: impl Into<String>,
    right: impl Into<String>,
) -> SettingsProblem {
    SettingsProblem {
        place: find_place(tree, path),
        key: path.join("."),
        wrong: wrong.into(),
        right: right.into(),
    }
}

fn find_place(tree: &SourceTable, path: &[&str]) -> Option<SourcePlace> {
    let (last, tables) = path.split_last()?;
    let entry = find_table(tree, tables)?.entry(last)?;
    Some(entry.place.clone())
}

fn find_value<'t>(tree: &'t SourceTable, path: &[&str]) -> Option<&'t SourceValue> {
    let (last, tables) = path.split_last()?;
    Some(&find_table(tree, tables)?.entry(last)?.node.value)
}

fn find_table<'t>(tree: &'t SourceTable, path: &[&str]) -> Option<&'t SourceTable> {
    path.iter().try_fold(tree, |table, key| match &table.entry(key)?.node.value {
        SourceValue::Table(inner) => Some(inner),
        _ => None,
    })
}
