//! Tests with abusive clients against processes of the compiled program, beside ordinary traffic, over
//! both wires.
//!
//! `RUDDER_LOAD_SECONDS=20` runs each kind of client for longer than CI does. Each test prints the
//! memory of the process and how the ordinary requests fared before, during and after them.

#[expect(dead_code, reason = "shared with the tests of processes, which use all of it")]
#[path = "../processes/program.rs"]
mod program;

mod frame_client;
mod frame_environment;
mod line_client;
mod line_environment;
mod lines;
mod load;
mod memory;
mod postgres;
mod stage;
mod traffic;
