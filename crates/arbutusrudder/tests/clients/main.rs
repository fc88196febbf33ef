//! Tests with clients that do not behave, played against processes of the compiled program beside
//! ordinary traffic, over both wires.
//!
//! `RUDDER_CROWD_SECONDS=20` plays each crowd for longer than CI does. Each test prints the memory of
//! the process and how the ordinary requests fared before, during and after the crowd.

#[expect(dead_code, reason = "shared with the tests of processes, which use all of it")]
#[path = "../processes/program.rs"]
mod program;

mod crowd;
mod frame_client;
mod frame_environment;
mod line_client;
mod line_environment;
mod lines;
mod memory;
mod postgres;
mod stage;
mod traffic;
