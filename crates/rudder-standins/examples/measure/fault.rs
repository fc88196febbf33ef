//! Injection of a trace's faults at their scheduled times.

use crate::trace::{FaultAction, LoadTrace};
use rudder_core::{MemberName, MemberRole};
use rudder_standins::{Deployment, MemberKnob};
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Injects the faults of `trace`. Their times count from the call.
pub(crate) async fn inject_faults(deployment: &Deployment, trace: &LoadTrace) {
    let started = Instant::now();
    for fault in &trace.faults {
        sleep_until(started + Duration::from_secs_f64(fault.at)).await;
        inject(deployment, fault.action);
    }
}

fn inject(deployment: &Deployment, action: FaultAction) {
    match action {
        FaultAction::KillPrimary => {
            if let Some((_, name)) = primary_of(deployment) {
                set_knob(deployment, &name, MemberKnob::Kill);
            }
        }
        FaultAction::CutPrimary => {
            if let Some((index, name)) = primary_of(deployment) {
                set_knob(deployment, &name, MemberKnob::Cut(true));
                for links in &deployment.links {
                    links.members[0][index].cut();
                }
            }
        }
        FaultAction::CutOneLink => {
            if let Some((index, _)) = primary_of(deployment) {
                deployment.links[0].members[0][index].cut();
            }
        }
        FaultAction::Jitter => {
            for link in deployment.links.iter().flat_map(|links| links.members.iter().flatten()) {
                link.set_delay(Duration::from_millis(20), Duration::from_millis(60));
            }
        }
        FaultAction::PlatformDown => {
            deployment.links.iter().for_each(|links| links.platform.cut());
        }
        FaultAction::PlatformUp => {
            deployment.links.iter().for_each(|links| links.platform.heal());
        }
    }
}

fn primary_of(deployment: &Deployment) -> Option<(usize, MemberName)> {
    let group = &deployment.groups[0];
    let is_primary = |name: &MemberName| {
        group.status(name).is_ok_and(|status| status.role == MemberRole::Primary)
    };
    let found = group.members().enumerate().find(|(_, (name, _))| is_primary(name));
    found.map(|(index, (name, _))| (index, name.clone()))
}

fn set_knob(deployment: &Deployment, name: &MemberName, knob: MemberKnob) {
    deployment.groups[0].turn(name, knob).expect("the member belongs to the group");
}
