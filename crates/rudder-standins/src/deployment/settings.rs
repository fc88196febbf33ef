//! Generates the settings file of a deployment.

use super::DeploymentPlan;
use crate::group::GroupStandin;
use std::fmt::Write;

/// Returns the settings of a plan in TOML. The groups run already, as their addresses are part of
/// the settings.
pub(super) fn plan_settings(plan: &DeploymentPlan, groups: &[GroupStandin]) -> String {
    let mut text = String::new();
    for domain in &plan.domains {
        append(&mut text, format_args!("[domains.{domain}]\nregion = \"{domain}\"\n"));
    }
    for (group, settings) in groups.iter().zip(&plan.groups) {
        append(&mut text, format_args!("[services.{}]\nuser = \"app\"\n", group.service()));
        for (index, (name, address)) in group.members().enumerate() {
            let domain = &plan.domains[index % plan.domains.len()];
            let speed = settings.members[index].speed;
            append(
                &mut text,
                format_args!(
                    "[services.{}.members.{name}]\naddress = \"{address}\"\ndomain = \"{domain}\"\n\
                     slots = {}\nconnections = {}\nspeed = \"{speed}%\"\n",
                    group.service(),
                    settings.slots,
                    settings.connections,
                ),
            );
        }
    }
    text.push_str(&plan.extra_settings);
    text
}

fn append(text: &mut String, line: std::fmt::Arguments<'_>) {
    text.write_fmt(line).expect("a string takes everything");
}
