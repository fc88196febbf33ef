//! Tests of the succession decisions: single steps, and randomly generated fault schedules.

mod faults;
mod grant;
mod model;
mod plan;
mod suspicion;
