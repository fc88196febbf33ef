//! Tests of the succession decisions: single steps, and generated schedules of faults.

mod faults;
mod grant;
mod model;
mod plan;
mod suspicion;
