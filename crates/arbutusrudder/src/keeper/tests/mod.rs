//! Tests of the keeper with fake members, platform and peers, mostly on tokio's paused clock.

mod failover;
mod fake_group;
mod fake_platform;
mod fixture;
#[path = "../../../../rudder-core/tests/succession/model.rs"]
mod model;
mod schedules;
mod standin_switch;
